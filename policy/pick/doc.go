// Package pick decides which entries a caller is to use, how long it may cache that list,
// and how long an entry that leaves keeps accepting requests.
//
// Load patterns: a few large callers among many small ones, callers that cache a list for
// its whole validity, the loss of an entry, and most callers in one zone.
//
// Without it: callers with the same list all use its first entry; a caller with a quarter
// of all requests sends them to one entry of seven, which then has almost twice its fair
// load; when an entry is lost, all its callers move to the same neighbour; and an entry
// that closes as soon as it leaves refuses callers whose cached list still names it.
//
// A small caller gets a weighted rendezvous order of its key (Thaler and Ravishankar,
// IEEE/ACM Transactions on Networking 6(1), 1998; weights after Schindelhauer and
// Schomaker, SPAA 2005). Each caller has its own order, so the callers of a lost entry
// spread over all others, and all entries return the same list without coordination. A
// large caller, one above HeavyPart, gets a short validity and an order that rotates by
// one entry per validity window and client, so that over several windows it loads every
// entry evenly.
//
// The package does no I/O and reads no clock. All functions are pure and safe for
// concurrent use.
package pick
