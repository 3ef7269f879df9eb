package gateway

import (
	"context"
	"math"
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
	// maxTickDelay is how late a task of this process may run at its interval. A later one was
	// starved, or the process was paused, and replies of control replicas may not have been read.
	maxTickDelay = 300 * time.Millisecond
	// starvedFor is how long the process counts as starved after a late task: replies that were
	// late as well are read within that time.
	starvedFor = 2 * time.Second
)

// freshness tracks whether this entry's catalogue is the newest, and what it knows of the servers. It is
// safe for concurrent use.
type freshness struct {
	now         func() time.Time
	applyWithin time.Duration // in which a change must be in force everywhere
	drain       time.Duration // in which a server that leaves must get no more requests

	mu         sync.Mutex
	tracker    *policy.Tracker
	changed    chan struct{} // closed at the next report or catalogue
	waiting    int           // requests that wait for changed
	promptedAt time.Time
	tickedAt   time.Time // of the last upkeep, or of the start; zero before
	lateAt     time.Time // of the last upkeep that was late
	repliedAt  time.Time // when a replica read the newest report that this entry has
}

func newFreshness(applyWithin, drain time.Duration, now func() time.Time) *freshness {
	return &freshness{now: now, applyWithin: applyWithin, drain: drain, tracker: policy.NewTracker(), changed: make(chan struct{})}
}

// record records the reply of a replica.
func (f *freshness) record(replica string, r *api.WatchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	readAt := r.SentAt.Add(r.Held)
	if readAt.After(f.repliedAt) {
		f.repliedAt = readAt
	}
	f.tracker.Record(replica, r.Revision, readAt, r.Share.View, f.now())
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

// tick records that the upkeep runs, which it does each upkeepInterval.
func (f *freshness) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.tickOverdue(now) {
		f.lateAt = now
	}
	f.tickedAt = now
}

func (f *freshness) tickOverdue(now time.Time) bool {
	return !f.tickedAt.IsZero() && now.Sub(f.tickedAt) > upkeepInterval+maxTickDelay
}

// mayServe reports whether a request that the catalogue allows may be served. A process that is
// starved may have missed replies, so that its catalogue must be confirmed; one that is not starved
// and gets no replies is cut off from the control replicas, and serves on.
func (f *freshness) mayServe(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return !f.starved(now) || now.Sub(f.tracker.ConfirmedAt(revision)) <= f.applyWithin
}

// starved reports whether replies of control replicas may not have been read. f.mu is held.
func (f *freshness) starved(now time.Time) bool {
	return f.tickOverdue(now) || !f.lateAt.IsZero() && now.Sub(f.lateAt) < starvedFor
}

// anyRevision is above all revisions.
const anyRevision = math.MaxUint64

// knowsLeaves reports whether a request may be sent to a server that is not known to leave. A leave is
// acknowledged once a majority of the replicas holds it, and a process that is starved may have missed
// their replies: it needs those of a majority. Half of the bound is left for what follows.
func (f *freshness) knowsLeaves() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return !f.starved(now) || now.Sub(f.tracker.ConfirmedAt(anyRevision)) <= f.drain/2
}

// viewAge returns the age of what this entry knows of the servers.
func (f *freshness) viewAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.repliedAt)
}

// majorityAt returns when a majority of the replicas had read what they have reported.
func (f *freshness) majorityAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.ConfirmedAt(anyRevision)
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
// catalogue is confirmed. Until the result is certain the request waits for a short while.
func (j *job) lookUpInForce(ctx context.Context) *Refusal {
	timeout := time.NewTimer(j.confirmWait())
	defer timeout.Stop()
	for {
		refusal, revision := j.lookUp()
		if j.isCertain(refusal, revision) {
			return refusal
		}
		changed, prompt := j.gateway.freshness.wait()
		if prompt {
			j.gateway.follower.Prompt()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return &Refusal{Reason: NoCatalogue, RetryAfter: catalogueRetryAfter, Detail: "catalogue is not confirmed"}
		case <-ctx.Done():
			return j.contextRefusal(ctx)
		}
	}
}

// AwaitConfirmed waits for a short while until the catalogue is confirmed, and reports whether it is
// and was in force all the while. Without that nothing final may be said to a caller.
func (g *Gateway) AwaitConfirmed(ctx context.Context) bool {
	table := g.table.Load()
	timeout := time.NewTimer(maxConfirmWait)
	defer timeout.Stop()
	for table != nil && table == g.table.Load() {
		if g.freshness.confirmed(table.Catalogue().Revision) {
			return true
		}
		changed, prompt := g.freshness.wait()
		if prompt {
			g.follower.Prompt()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// isCertain reports whether the result of lookUp may be acted on.
func (j *job) isCertain(refusal *Refusal, revision uint64) bool {
	switch {
	case refusal == nil:
		return j.gateway.freshness.mayServe(revision)
	case refusal.Reason == NoCatalogue:
		return true
	default:
		return j.gateway.freshness.confirmed(revision)
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
