// Package admit decides what is let in. It answers load above a workspace's
// limits, load above the capacity of the backend servers, and an entry that is
// cut off from the control leader while callers still reach it.
//
// Without it every entry would allow a workspace its whole limit, so that seven
// entries together allow seven times as much; callers would wait for answers
// that cannot come before their deadline; and those turned away would all come
// back in the same second.
//
// Two halves make up the decision. On the control leader, Shares splits each
// workspace's limits among entries by the demand they observe and gives the
// parts out as leases. At each entry, Admitter holds requests to the leased
// part, and to what the queue can start in time as judged by Drain.
//
// An entry keeps one Admitter, since limits are a workspace's over all services,
// and one Drain for each set of backend servers that do the same work.
//
// The package has no clock and no source of randomness: both come in as
// arguments. Its types are not safe for concurrent use; their owner holds a
// lock around them. Every refusal is final and immediate.
package admit
