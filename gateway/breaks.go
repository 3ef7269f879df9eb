package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/suspect"
)

// maxReportedBreaks bounds the records in one call to a replica.
const maxReportedBreaks = 300

// breaks holds what this entry knows of requests that broke off on servers which were gone
// afterwards: its own records, and the suspects that the control replicas list. It is safe for
// concurrent use.
type breaks struct {
	now func() time.Time

	mu      sync.Mutex
	view    *suspect.View
	refused map[uint64]refusedTrial
}

// refusedTrial is until when no trial of a suspect is asked for.
type refusedTrial struct {
	until time.Time
	grant suspect.Grant
}

func newBreaks(now func() time.Time) *breaks {
	return &breaks{now: now, view: suspect.NewView(), refused: make(map[uint64]refusedTrial)}
}

// record records that a request broke off on a server that is gone since.
func (b *breaks) record(fingerprint uint64, server suspect.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.Set.RecordBreak(fingerprint, server, b.now())
}

// recordAnswer records that a server has answered a request, and reports whether it had broken
// off before, and whether it was a suspect.
func (b *breaks) recordAnswer(fingerprint uint64) (changed, wasSuspect bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.refused, fingerprint)
	return b.view.RecordAnswer(fingerprint, b.now())
}

// since returns the records that changed after a version, for the control replicas.
func (b *breaks) since(version uint64) ([]suspect.Record, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Set.Since(version, maxReportedBreaks, b.now())
}

// updateList applies what a reply of a replica says on suspects.
func (b *breaks) updateList(replica string, r *api.WatchReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.HasSuspects {
		b.view.SetList(replica, r.Suspects, b.now())
	} else {
		b.view.KeepList(replica, b.now())
	}
}

// empty reports whether no request is held or listed, so that no fingerprint has to be computed.
func (b *breaks) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Empty()
}

// suspect reports whether the request may be what ends servers.
func (b *breaks) suspect(fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Suspect(fingerprint)
}

// lastRefusal returns the last refusal of a trial while it holds.
func (b *breaks) lastRefusal(fingerprint uint64) (suspect.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, known := b.refused[fingerprint]
	return r.grant, known && b.now().Before(r.until)
}

// recordRefusal records the refusal of a trial.
func (b *breaks) recordRefusal(fingerprint uint64, g suspect.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[fingerprint] = refusedTrial{until: b.now().Add(min(g.After, maxTrialRetryAfter)), grant: g}
}

// expire forgets what is out of date.
func (b *breaks) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.view.Expire(now)
	for fingerprint, r := range b.refused {
		if now.After(r.until) {
			delete(b.refused, fingerprint)
		}
	}
}
