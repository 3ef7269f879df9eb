package gateway

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	policy "savoryreel.example/savoryreel/policy/freshness"
)

const (
	// maxConfirmWait bounds the time that a request waits for the catalogue to be confirmed.
	maxConfirmWait = 500 * time.Millisecond
	// promptInterval is the least time between two prompts of the control replicas.
	promptInterval = 100 * time.Millisecond
)

// freshness tracks whether this entry's catalogue is the newest. It is safe for concurrent use.
type freshness struct {
	now         func() time.Time
	applyWithin time.Duration // in which a change must be in force everywhere

	mu         sync.Mutex
	tracker    *policy.Tracker
	changed    chan struct{} // closed at the next report or catalogue
	waiting    int           // requests that wait for changed
	promptedAt time.Time
}

func newFreshness(applyWithin time.Duration, now func() time.Time) *freshness {
	return &freshness{now: now, applyWithin: applyWithin, tracker: policy.NewTracker(), changed: make(chan struct{})}
}

// record records the reply of a replica.
func (f *freshness) record(replica string, r *api.WatchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Record(replica, r.Revision, r.SentAt.Add(r.Held), len(r.Replicas), f.now())
	f.notifyLocked()
}

// notify wakes the requests that wait for another catalogue.
func (f *freshness) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyLocked()
}

func (f *freshness) notifyLocked() {
	if f.waiting == 0 {
		return
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.waiting = 0
}

// outdated reports whether a newer revision has been known for so long that it must be in force.
func (f *freshness) outdated(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Behind(revision, f.now()) > f.applyWithin
}

// confirmed reports whether no newer revision was accepted until a short while ago. Half of the
// time in which a change must be in force is left for what follows.
func (f *freshness) confirmed(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return f.tracker.Behind(revision, now) == 0 && now.Sub(f.tracker.ConfirmedAt(revision)) <= f.applyWithin/2
}

// wait returns a channel that is closed at the next change, and whether the replicas are to be
// prompted.
func (f *freshness) wait() (changed <-chan struct{}, prompt bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting++
	if now := f.now(); now.Sub(f.promptedAt) >= promptInterval {
		f.promptedAt, prompt = now, true
	}
	return f.changed, prompt
}

// lookUpInForce finds the request's route and workspace in the catalogue in force, or returns its
// refusal. That there is no such route or key is final for a caller, so it is only said if the
// catalogue is confirmed; until then the request waits for a short while.
func (j *job) lookUpInForce(ctx context.Context) *Refusal {
	timeout := time.NewTimer(j.confirmWait())
	defer timeout.Stop()
	for {
		refusal, revision := j.lookUp()
		if refusal == nil || refusal.Reason == NoCatalogue || j.gateway.freshness.confirmed(revision) {
			return refusal
		}
		changed, prompt := j.gateway.freshness.wait()
		if prompt {
			j.gateway.follower.Prompt()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return &Refusal{Reason: NoCatalogue, RetryAfter: catalogueRetryAfter, Detail: "catalogue is not confirmed: " + refusal.Reason.String()}
		case <-ctx.Done():
			return j.contextRefusal(ctx)
		}
	}
}

// confirmWait returns how long the request may wait for a confirmation of the catalogue.
func (j *job) confirmWait() time.Duration {
	if j.CallerTimeout > 0 {
		return min(maxConfirmWait, j.CallerTimeout/2)
	}
	return maxConfirmWait
}

// lookUp finds the request's route and workspace in this entry's catalogue, and returns its
// revision. Nothing is decided by a catalogue that is outdated.
func (j *job) lookUp() (refusal *Refusal, revision uint64) {
	table := j.gateway.table.Load()
	if table == nil {
		return &Refusal{Reason: NoCatalogue, RetryAfter: catalogueRetryAfter}, 0
	}
	revision = table.Catalogue().Revision
	if j.gateway.freshness.outdated(revision) {
		return &Refusal{Reason: NoCatalogue, RetryAfter: catalogueRetryAfter, Detail: "catalogue is outdated"}, revision
	}
	if j.route = table.Route(j.Host, j.Path); j.route == nil {
		return &Refusal{Reason: NoRoute}, revision
	}
	if j.workspace = table.Workspace(j.Key); j.workspace == nil && table.Catalogue().KeysNeeded && !j.route.Public {
		return &Refusal{Reason: UnknownKey}, revision
	}
	return nil, revision
}
