// Package pick decides which entries a caller is told to use, for how long, and
// how long an entry that leaves must go on accepting.
//
// Load patterns answered: a few large callers among many small ones, callers
// that keep an answer for its whole validity, the loss of an entry, and most
// callers in one zone.
//
// Without it: callers that all hold the same list use its first entry; a caller
// with a quarter of all requests puts them on one entry of seven, which then
// has almost twice its fair load; when an entry is lost, all its callers move to
// the same neighbour; and an entry that closes as soon as it leaves refuses
// callers whose answer still names it.
//
// Small callers get a weighted rendezvous order of their key (Thaler and
// Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998; weights after
// Schindelhauer and Schomaker, SPAA 2005): each has an order of its own, so the
// callers of a lost entry spread over all others, and all entries give the same
// answer without talking. Callers above a part of the fair share get a short
// validity and an order that moves on by one entry per validity window and per
// client, so that over a few windows they load every entry alike.
//
// The package does no I/O and reads no clock. All functions are pure and safe
// for concurrent use.
package pick
