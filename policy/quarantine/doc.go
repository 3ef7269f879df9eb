// Package quarantine limits how many backend servers a request can crash.
//
// Load pattern: one request whose content crashes every server that runs it, resent by
// its caller and retried by the system, through any entry.
//
// Without it: each retry crashes another server together with all requests on it. An
// operator sees one server after another restart, and callers of other requests lose
// their answers.
//
// # Rules
//
// A request is identified by its fingerprint (request.Request.Fingerprint), which is the
// same for each resend. When a server crashes, every request that ran on it becomes a
// suspect. A suspect runs again only as a trial, granted by the one entry that owns its
// fingerprint, on a server that this entry also owns and that runs no other suspect. If
// that server crashes too, the fingerprint is quarantined: every entry refuses it
// immediately for Config.Keep, and callers must not retry. If the trial finishes, the
// suspect is cleared.
//
// Owners are chosen by rendezvous hashing over the serving entries, so that entries with
// the same view agree without communication. Records are sets of runs whose states only
// increase. They merge by union, so they may arrive late, more than once and in any order.
//
// # Bound
//
// One fingerprint crashes at most two servers (incarnations), for any number of resends
// and entries, if all of the following hold:
//
//   - Config.AskOwner is set, and each entry follows the verdict: it runs a fingerprint
//     that is not known to be good only with a grant of its owner. The grant is recorded
//     before the first byte is sent to the server.
//   - All entries agree on the owner of the fingerprint while a grant is open. If the owner
//     changes because an entry joins or is lost, or if the entries are partitioned, each
//     owner may grant two servers.
//   - The owner learns of a server's crash within TrialKeep of its grant on that server.
//   - A run on a server whose state is unknown is reported with Crashed, not with End.
//   - No record of the fingerprint was evicted (MaxRecords) or has expired (Keep).
//   - The request crashes every server that runs it. One that sometimes finishes is
//     cleared each time.
//
// Without AskOwner a fingerprint that this entry does not suspect runs immediately, which
// saves the round trip to the owner. The bound then holds only if every entry has the record
// of the first crash before the request arrives again, and if the request was not running
// on two servers at the time of that crash. Each run started before that may crash one more
// server.
//
// A harmless request on trial is quarantined if its server crashes for another cause. To
// make this rare, entries send no new work to servers on trial (Set.OnTrial).
//
// Requests that are unlike but share a part have fingerprints of their own. Parts are held by the entries
// with package suspect; records of this package, marked with Part, carry what they know of them.
//
// The package does no I/O and reads no clock. A Set is not safe for concurrent use.
package quarantine
