// Package quarantine keeps a request that crashes backend servers from taking
// one server after another.
//
// Load pattern answered: one request whose content crashes each server that
// runs it, sent again by its caller and by the system's own retries, through any
// entry.
//
// Without it: each retry takes another server, with all that runs on it. An
// operator sees servers restart in a row with nothing in common but their last
// requests; callers who did nothing wrong lose their answers each time.
//
// # The rules
//
// A request is known by its fingerprint (request.Request.Fingerprint), the same for
// each resend. When a server crashes, every request that ran there becomes a suspect:
// nobody can tell which of them did it. A suspect runs again only as a trial,
// granted by the one entry that owns its fingerprint, on a server that the same
// entry owns and that runs no other suspect. If that server crashes too, the
// fingerprint is quarantined: refused at once and finally, at every entry, for
// Config.Keep. If the trial finishes, the suspect was a bystander and is cleared.
//
// Ownership is by rendezvous hashing over the serving entries, so all entries
// agree without talking. Records are sets that only grow along a fixed order of
// states and merge by union, so they may arrive late, doubled and in any order.
//
// # The bound
//
// At most two servers (incarnations) are lost to one fingerprint, whatever the
// number of resends and entries, when all of this holds:
//
//   - Config.AskOwner is set, and each entry obeys the verdict: it runs a
//     fingerprint that is not known to be good only after its owner has granted it.
//     The grant is recorded before the first byte goes to the server.
//   - All entries name the same owner for the fingerprint for as long as a grant
//     is open. Where the owner changes (an entry joins or is lost) or two parts of
//     the entries cannot see each other, each owner may grant two servers.
//   - The owner hears of a server's crash within TrialKeep of its grant there.
//   - A run whose server's fate is not known is reported with Crashed and not
//     with End.
//   - No record of the fingerprint was evicted (MaxRecords) or forgotten (Keep).
//   - The request crashes every server that runs it. One that sometimes finishes
//     is cleared each time it does.
//
// Without AskOwner, a fingerprint that no entry suspects yet runs at once, which
// saves the exchange with the owner (about 1 ms between data centres of a site).
// Then the bound holds if every entry has the record of the first crash before
// the request reaches it again, and if it was not running on two servers when it
// crashed the first. Each run begun before that may cost one server more.
//
// A bystander that is on trial when the server crashes for another cause is
// quarantined though it did nothing. To make that rare, entries keep new work
// away from a server on trial (Set.OnTrial).
//
// The package does no I/O and reads no clock. A Set is not safe for concurrent
// use.
package quarantine
