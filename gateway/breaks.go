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

// record records that a request with these properties broke off on a server that is gone since.
func (b *breaks) record(properties []uint64, server suspect.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view.RecordBreak(properties, server, b.now())
}

// recordAnswer records that a server has answered a request with these properties. It reports whether any
// had broken off before, and which were suspects.
func (b *breaks) recordAnswer(properties []uint64) (changed bool, suspects []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, p := range properties {
		delete(b.refused, p)
		propertyChanged, wasSuspect := b.view.RecordAnswer(p, now)
		changed = changed || propertyChanged
		if wasSuspect {
			suspects = append(suspects, p)
		}
	}
	return changed, suspects
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

// needTrials returns those of a request's properties of which a send needs trials.
func (b *breaks) needTrials(properties []uint64) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Needed(properties, b.now())
}

// lastRefusal returns the last refusal of a trial of one of the properties while it holds.
func (b *breaks) lastRefusal(properties []uint64) (suspect.Grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, p := range properties {
		if r, known := b.refused[p]; known && now.Before(r.until) {
			return r.grant, true
		}
	}
	return suspect.Grant{}, false
}

// recordRefusal records the refusal of a trial of a property.
func (b *breaks) recordRefusal(g suspect.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[g.Refused] = refusedTrial{until: b.now().Add(min(g.After, maxTrialRetryAfter)), grant: g}
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
