// Package membership spreads among entries and control replicas what each of
// them hears: the system's own instances, the backend servers, and small shared
// records such as quarantined requests.
//
// Every record is a join-semilattice: incarnation, then sequence, then marks
// that only ever get set (leaving, left) or grow (the sequence at which it was
// suspected or counted as gone). Replicas that have seen the same messages, in
// whatever order and however often, hold the same record.
//
// Changes travel as deltas along rings. Each instance orders all instances by a
// hash of ring number and id, and pushes to its successor in each ring: two
// rings over its own region, two over all. A ring is a cycle, so every instance
// has as many senders as receivers, and no list of neighbours is agreed on.
// Weighed, by arithmetic and not by a run: pushing to peers drawn afresh each
// time reaches everybody too, but at 370 instances it takes about ln 370, some
// six, copies of a rumour for each receiver in place of four; and with framed
// connections it opens one to every other instance, 738 both ways, whose
// heartbeats of 8 bytes twice a second exceed the budget of 11 KB/s. Losses and
// cuts are mended by periodic comparison of digests.
//
// A backend server's heartbeats stay at the one entry that hears them, its
// home; the others hear of changes only. 600 servers with a heartbeat a second
// spread to everybody would cost the whole budget. The home counts the server
// as gone when it has not heard it for a bound; if the home itself is gone and
// no other entry has taken over, every entry does so by itself.
//
// The core is a deterministic state machine without I/O, clock or goroutines.
// Node runs it over package link.
package membership
