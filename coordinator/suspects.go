package coordinator

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/suspect"
)

// suspectRegistry merges what entries report on requests that broke off on servers, and lists the
// suspects for all entries. It is safe for concurrent use.
type suspectRegistry struct {
	now func() time.Time

	mu       sync.Mutex
	registry *suspect.Registry
	changed  chan struct{} // closed at the next change of the list
}

func newSuspectRegistry(now func() time.Time) *suspectRegistry {
	return &suspectRegistry{now: now, registry: suspect.NewRegistry(), changed: make(chan struct{})}
}

// merge merges an entry's records.
func (r *suspectRegistry) merge(records []suspect.Record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry.Set.Merge(records, r.now()) && r.registry.Update() {
		r.notify()
	}
}

// setTrials replaces the requests that the replicated state holds.
func (r *suspectRegistry) setTrials(fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry.SetTrials(fingerprints) {
		r.notify()
	}
}

// expire drops the records that have expired.
func (r *suspectRegistry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.registry.Set.Version()
	if r.registry.Set.Expire(r.now()); r.registry.Set.Version() != version && r.registry.Update() {
		r.notify()
	}
}

// notify wakes those who wait for a change of the list. The caller holds r.mu.
func (r *suspectRegistry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// current returns the list, which must not be changed, its version, and a channel that is closed
// at the next change.
func (r *suspectRegistry) current() (list []uint64, version uint64, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, version = r.registry.List()
	return list, version, r.changed
}

// addSuspects adds the list of suspects to a reply to an entry that has another one.
func (c *Coordinator) addSuspects(reply *api.WatchReply, req *api.WatchRequest) {
	list, version, _ := c.suspects.current()
	reply.SuspectsVersion = version
	if req.SuspectsVersion != version || req.Incarnation != c.incarnation {
		reply.HasSuspects, reply.Suspects = true, list
	}
}

// trial decides on a trial of a suspect, or records that a server has answered it. Any replica
// takes the call and passes it to the leader.
func (c *Coordinator) trial(ctx context.Context, _ link.PeerInfo, req api.TrialRequest) (suspect.Grant, error) {
	return runOnLeader(ctx, c, api.MethodLeaderTrial, req, c.trialAsLeader)
}

// trialAsLeader commits a trial. One that this replica's state already refuses is not proposed:
// callers come back often, and the log would grow with each call.
func (c *Coordinator) trialAsLeader(ctx context.Context, m *member, req api.TrialRequest) (suspect.Grant, error) {
	now := c.clock.Now()
	if grant := m.state.checkTrial(req.Fingerprints, req.Ask, now); !req.Answered && !grant.Granted {
		return grant, nil
	}
	command := trialCommand{Fingerprints: req.Fingerprints, Answered: req.Answered, Ask: req.Ask, At: now}
	grant, err := proposeResult[suspect.Grant](ctx, m, kindTrial, command)
	return grant, notLeaderError(err)
}

// recordSuspects commits, while this replica leads, the suspects that the replicated state lacks. Entries
// and replicas hold them in memory: a request would crash as many servers again once all of them have
// restarted.
func (c *Coordinator) recordSuspects(ctx context.Context) error {
	for {
		list, _, changed := c.suspects.current()
		if m := c.group.current.Load(); m != nil && m.leading() {
			c.commitSuspects(ctx, m, m.state.withoutTrials(list))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(sweepInterval):
		}
		select { // gathers the suspects of servers that end together
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(suspectsInterval):
		}
	}
}

// suspectsInterval is the least time between two commits of suspects.
const suspectsInterval = 20 * time.Millisecond

func (c *Coordinator) commitSuspects(ctx context.Context, m *member, suspects []uint64) {
	if len(suspects) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
	defer cancel()
	if err := propose(ctx, m, kindSuspects, suspectsCommand{Fingerprints: suspects, At: c.clock.Now()}); err != nil {
		c.log.DebugContext(ctx, "suspects not committed", "error", err) // tried again
	}
}
