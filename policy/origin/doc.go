// Package origin decides at which software version a stream may go on.
//
// Load pattern: servers of several versions of one service serve side by side, and streams break off:
// servers crash, or all entries are killed at once and their callers take the streams up elsewhere.
//
// Without it a stream goes on at any server. What two versions write doesn't fit together, and nothing in
// the answer shows that it is joined from both.
//
// The origin of a stream is the version of the server that brought its first event. The entry that relays
// the event remembers it, and records it at control replicas while servers of several versions may have
// begun streams. A caller that takes a stream up names the attempt that brought the first event; whichever
// entry gets it asks the replicas. One record is enough. Without a record there is an origin only if one
// version alone can have begun the stream (Decide): a majority of the voters holds each version before any
// entry learns of its first server (Versions). Otherwise the origin is unknown, and the stream must not go
// on. Lost records therefore cost take-ups, and never join two versions.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package origin
