// Package explain reads the logs of entries and says where service was lost: how
// many requests were answered in time, and for which reason the others were not, by
// second, route, workspace, zone of the entry, server and size of prompt.
//
// It reads line by line and keeps one record for each request that has not ended, so
// that logs of any length can be read. Lines that are no JSON, or not of a kind that it
// knows, are counted and passed over: a log may be torn, or hold other output too.
package explain
