// Package quorum decides whether a majority of the voters of a replicated log has replied, while
// the set of voters changes.
//
// Load pattern: replicas are replaced one after the other, some of them while the processes that
// ask them are partitioned.
//
// Without it replies are counted against a list of addresses that holds replicas which are gone, so
// that no majority is ever found, or replies of replicas that were replaced count as votes.
//
// The package does no I/O and reads no clock.
package quorum

import (
	"slices"
	"time"
)

// View is a replica and the voters that it knows.
type View struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Self   uint64   `msgpack:"self"`   // id of the replica; 0: it has none yet
	Index  uint64   `msgpack:"index"`  // of the log entry that set Voters
	Voters []uint64 `msgpack:"voters"` // ids, sorted; empty: not known
}

// IsVoter reports whether the replica is a voter by its own view.
func (v View) IsVoter() bool { return slices.Contains(v.Voters, v.Self) }

// Majority reports whether the replicas with these views are a majority of the voters by the newest view
// among known and views.
//
// Two sets of voters that follow each other differ in one voter, so that a majority of the one and a
// majority of the other have a replica in common.
func Majority(views, known []View) bool {
	newest := newestVoters(slices.Concat(views, known))
	return len(newest) > 0 && countVoters(views, newest) > len(newest)/2
}

// newestVoters returns the voters of the view with the highest index.
func newestVoters(views []View) []uint64 {
	var newest View
	for _, v := range views {
		if len(v.Voters) > 0 && (len(newest.Voters) == 0 || v.Index > newest.Index) {
			newest = v
		}
	}
	return newest.Voters
}

// countVoters returns how many of the voters are among the replicas with these views.
func countVoters(views []View, voters []uint64) int {
	counted := make(map[uint64]bool, len(views))
	for _, v := range views {
		if slices.Contains(voters, v.Self) {
			counted[v.Self] = true
		}
	}
	return len(counted)
}

// Reply is when a replica replied, or rather when the call was made that it replied to.
type Reply struct {
	View View
	At   time.Time
}

// ConfirmedAt returns the latest time at or after which calls to a majority of the voters by the newest
// view among known and replies were made that have been replied to; the zero time if there is none.
func ConfirmedAt(replies []Reply, known []View) time.Time {
	views := slices.Clone(known)
	for _, r := range replies {
		views = append(views, r.View)
	}
	voters := newestVoters(views)
	latest := make(map[uint64]time.Time, len(replies))
	for _, r := range replies {
		if slices.Contains(voters, r.View.Self) && r.At.After(latest[r.View.Self]) {
			latest[r.View.Self] = r.At
		}
	}
	if len(voters) == 0 || len(latest) <= len(voters)/2 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(latest))
	for _, at := range latest {
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(voters)/2]
}
