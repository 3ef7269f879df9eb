// Package freshness tracks whether the catalogue of a process is the newest one.
//
// Load pattern: a process is starved, its link is full, a replica stalls or the process was paused,
// while an operator changes the catalogue.
//
// Without it the process goes on answering by what it has: callers of a new route get 404, which
// they take as final, and requests run that the operator no longer allows.
//
// A change is accepted once a majority of the voters has it. So the process is up to date as of a
// time if a majority of them had, at that time or later, no newer revision than its own.
//
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
package freshness

import (
	"maps"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/quorum"
)

// Tracker holds what the replicas have reported.
type Tracker struct {
	replicas  map[string]report
	revisions []revision // reported last, ascending
}

// revision is when a revision was first reported.
type revision struct {
	number uint64
	at     time.Time
}

const (
	// reportTTL is how long the report of a replica counts that sends no other: it may have left
	// the group.
	reportTTL = 30 * time.Second
	// maxRevisions bounds the revisions whose times are kept.
	maxRevisions = 256
)

// report is the last one of a replica.
type report struct {
	revision uint64
	asOf     time.Time
	view     quorum.View
}

// NewTracker returns a Tracker without reports.
func NewTracker() *Tracker { return &Tracker{replicas: make(map[string]report)} }

// Record records that a replica with a view of the voters had no newer revision than this at a time,
// which is not after now.
func (t *Tracker) Record(replica string, number uint64, asOf time.Time, view quorum.View, now time.Time) {
	if r := t.replicas[replica]; asOf.After(r.asOf) {
		t.replicas[replica] = report{revision: number, asOf: asOf, view: view}
	}
	maps.DeleteFunc(t.replicas, func(_ string, r report) bool { return now.Sub(r.asOf) > reportTTL })
	t.addRevision(number, now)
}

// addRevision records the time of a revision that is the highest reported.
func (t *Tracker) addRevision(number uint64, now time.Time) {
	if n := len(t.revisions); n > 0 && number <= t.revisions[n-1].number {
		return
	}
	if len(t.revisions) >= maxRevisions {
		t.revisions = slices.Delete(t.revisions, 0, 1)
	}
	t.revisions = append(t.revisions, revision{number: number, at: now})
}

// ConfirmedAt returns the latest time as of which a majority of the voters had no revision above held;
// the zero time if there is none.
func (t *Tracker) ConfirmedAt(held uint64) time.Time {
	var confirming []quorum.Reply
	known := make([]quorum.View, 0, len(t.replicas))
	for _, r := range t.replicas {
		known = append(known, r.view)
		if r.revision <= held {
			confirming = append(confirming, quorum.Reply{View: r.view, At: r.asOf})
		}
	}
	return quorum.ConfirmedAt(confirming, known)
}

// Behind returns for how long a revision above held has been known; 0 if none is.
func (t *Tracker) Behind(held uint64, now time.Time) time.Duration {
	i := slices.IndexFunc(t.revisions, func(r revision) bool { return r.number > held })
	if i < 0 {
		return 0
	}
	return max(now.Sub(t.revisions[i].at), 1)
}
