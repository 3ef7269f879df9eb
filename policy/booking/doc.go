// Package booking tracks the load that all entries have placed on each backend server. The
// load of a server is held in the load table of one entry, its owner.
//
// Load pattern: many entries, each with a few requests per second, choose among many
// servers. The periodic load reports are several hundred milliseconds old, and a server
// starts several requests in that time.
//
// Without it: an entry takes a server for idle to which others have just sent requests.
// Short requests wait behind prompts that their entry does not know of and miss their
// objective, while other servers are idle.
//
// An entry queries the owners of its candidate servers for their current load, chooses
// one, and reports the request to the owner of that server. An owner grants nothing: if it
// does not respond in time, the choice is based on the older periodic reports, and no
// request waits longer for it.
//
// Each entry computes the owners from the names of the entries that are up. While entries
// disagree on these, the load of a server can be split between two load tables.
//
// The package does no I/O and reads no clock. A LoadTable is not safe for concurrent use.
package booking
