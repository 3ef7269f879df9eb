// Package limit divides a workspace's limit among the entries so that all of them
// together never let in more than the limit and its burst, whoever hears whom.
//
// Load pattern answered: a workspace sends many times its limit over many entries, while
// entries are cut off, frozen, started again, or differ about who is up.
//
// Without it an entry that can't reach the one that decides for all either refuses
// everything or lets in by guess what another one lets in as well. A margin for that can
// be passed by the next series of faults.
//
// Each entry has a share of every limit, and the shares of all entries come to one at
// most. It lends its share to the entry that keeps the limit's pool, for a short time, and
// does not use it meanwhile: a lease. Who keeps a pool has the sum of the shares that are
// lent to it, and lets in from that for all. An entry whose lease has run out uses its share
// itself. At any moment a share is in one pool only, so two entries that each take
// themselves for the keeper divide the limit instead of doubling it.
//
// A pool fills at its part of the limit's rate, and holds its part of the limit's size at
// most. So in all pools together there is never more than the size, and in any window all
// of them let in no more than the size and what the rate brings.
//
// The package does no I/O and reads no clock; its types are not safe for concurrent use.
package limit
