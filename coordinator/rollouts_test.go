package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/rollout"
	"savoryreel.example/savoryreel/routes"
)

var testLimits = rollout.Limits{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second}

// rolloutSite is a group of replicas with servers of two versions of a service and entries that report
// answers of both.
type rolloutSite struct {
	*cluster
	t    *testing.T
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex // guards the fields below and cluster.replicas
	servers  map[string]instance.Announcement
	fault    bool // the candidate answers a third of its requests with errors
	cutOff   bool // the entry does not reach the leader
	reported rollout.RouteSample
	views    map[string]api.Rollout // last rollout in the replies of each replica
}

func newRolloutSite(t *testing.T) *rolloutSite {
	s := &rolloutSite{cluster: newCluster(t, 3), t: t, servers: make(map[string]instance.Announcement), views: make(map[string]api.Rollout)}
	s.bounds, s.services = testLimits, []routes.Service{{Name: "web"}, {Name: "other"}}
	s.startFirst(3)
	s.replaceCatalogue(s.replicas[address(0)], 1)
	s.serve("s1", "v1")
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.wg.Go(func() { s.work(ctx) })
	t.Cleanup(func() {
		cancel()
		s.wg.Wait()
	})
	require.Eventually(t, func() bool { return s.known(1) }, testWait, 20*time.Millisecond)
	return s
}

// serve starts a server of a version.
func (s *rolloutSite) serve(id, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := serverAnnouncement(id, 1, instance.StateServing)
	a.Version = version
	s.servers[id] = a
}

// known reports whether all replicas know this many servers.
func (s *rolloutSite) known(servers int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		if len(r.directory.Servers(r.now())) < servers {
			return false
		}
	}
	return true
}

// work plays the servers' heartbeats and the entry's calls until ctx ends.
func (s *rolloutSite) work(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		for _, r := range s.replicas {
			s.step(ctx, r)
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// step plays the heartbeats to one replica and one call of an entry, of 20 ms each.
func (s *rolloutSite) step(ctx context.Context, r *testReplica) {
	for id, a := range s.servers {
		a.Sequence++
		if ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond); r.Announce(ctx, a) == nil {
			s.servers[id] = a
			cancel()
		} else {
			cancel()
		}
	}
	if m := r.group.current.Load(); s.cutOff && m != nil && m.leading() {
		return
	}
	req := api.WatchRequest{
		Role: api.RoleEntry, HasCatalogue: true, Detail: api.DetailNone, Share: limit.Report{Index: 1, Held: 1, Divisor: 1},
		Entry: &directory.Entry{Name: "e", Incarnation: 1, State: instance.StateServing},
	}
	if view := s.views[r.self]; view.ID != 0 && !view.Phase.Ended() {
		s.reported.Route = "r"
		s.reported.Stable.Record(20*time.Millisecond, false)
		s.reported.Candidate.Record(20*time.Millisecond, s.fault && s.reported.Candidate.Ended%3 == 0)
		req.Rollouts = []api.RolloutReport{{ID: view.ID, Service: "web", Routes: []rollout.RouteSample{s.reported}}}
	}
	reply, err := r.watch(ctx, link.PeerInfo{ID: "e"}, req)
	if err == nil && len(reply.Rollouts) > 0 {
		s.views[r.self] = reply.Rollouts[0]
	}
}

// order starts a rollout at any replica, as an operator does, and returns the first final outcome.
func (s *rolloutSite) order(to string, duration time.Duration) error {
	var err error
	require.Eventually(s.t, func() bool {
		for _, r := range s.running() {
			if err = r.StartRollout(s.t.Context(), RolloutOrder{Service: "web", To: to, Duration: duration}); err == nil || trace.IsCompareFailed(err) || trace.IsBadParameter(err) {
				return true
			}
		}
		return false
	}, testWait, 10*time.Millisecond)
	return err
}

// running returns the replicas that run.
func (s *rolloutSite) running() (out []*testReplica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		out = append(out, r)
	}
	return out
}

// killLeader stops the replica that leads.
func (s *rolloutSite) killLeader() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, r := range s.running() {
			if m := r.group.current.Load(); m != nil && m.leading() {
				s.mu.Lock()
				s.kill(r.cfg.Node.IP)
				s.mu.Unlock()
				return true
			}
		}
		return false
	}, testWait, 5*time.Millisecond)
}

// waitForPhase waits until all replicas read that the last rollout is in a phase.
func (s *rolloutSite) waitForPhase(phase rollout.Phase, within time.Duration) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, r := range s.running() {
			last, exists, err := r.LastRollout(s.t.Context(), "web")
			if err != nil || !exists || last.Phase != phase {
				return false
			}
		}
		return true
	}, within, 20*time.Millisecond)
}

// Guards against a faulty version that gets all requests, or stays until its deadline, because the leader
// that had the reports is lost.
func TestFaultyVersionIsRolledBackAfterALostLeader(t *testing.T) {
	s := newRolloutSite(t)
	require.NoError(t, s.order("v2", time.Minute))
	s.killLeader()
	s.serve("s2", "v2")
	s.mu.Lock()
	s.fault = true
	s.mu.Unlock()
	s.waitForPhase(rollout.RolledBack, testWait)
	s.mu.Lock()
	bad := s.reported.Candidate.Bad
	s.mu.Unlock()
	require.Less(t, bad, uint64(500), "found by the answers")
	require.Error(t, s.order("v1", time.Minute), "all servers that get requests have it")
}

// Guards against a faulty version that is completed because the leader has no reports: it reaches the other
// replicas, but no entry reaches it.
func TestFaultyVersionIsRolledBackByALeaderWithoutEntries(t *testing.T) {
	s := newRolloutSite(t)
	s.mu.Lock()
	s.fault, s.cutOff = true, true
	s.mu.Unlock()
	s.serve("s2", "v2")
	require.NoError(t, s.order("v2", 20*time.Second))
	s.waitForPhase(rollout.RolledBack, testWait)
	for _, r := range s.running() {
		last, _ := r.group.current.Load().state.lastRollout("web")
		require.Contains(t, []rollout.Reason{rollout.ReasonFailures, 0}, last.Reason, "0: not applied here yet")
	}
}

// Guards against a good version that is not in force by its deadline because a leader was lost in the middle,
// and against a rollout that starts again when its order is repeated after its end.
func TestGoodVersionIsCompletedByItsDeadlineWithoutTheFirstLeader(t *testing.T) {
	const duration = 12 * time.Second
	s := newRolloutSite(t)
	begun := time.Now()
	require.NoError(t, s.order("v2", duration))
	s.serve("s2", "v2")
	require.True(t, trace.IsCompareFailed(s.order("v3", duration)))
	require.NoError(t, s.order("v2", duration), "repeated")
	time.Sleep(duration / 3) // the leader is lost in the middle
	s.killLeader()
	s.waitForPhase(rollout.Completed, duration-time.Since(begun))
	require.True(t, trace.IsBadParameter(s.order("v2", duration)), "all servers that get requests have it")
}

// Guards against a rollout that is forgotten, or whose time starts anew, when all processes are killed.
func TestRolloutOutlastsAllProcesses(t *testing.T) {
	const duration = 12 * time.Second
	s := newRolloutSite(t)
	begun := time.Now()
	require.NoError(t, s.order("v2", duration))
	s.mu.Lock()
	for i := range 3 {
		s.kill(address(i))
	}
	for i := range 3 {
		s.start(address(i), false)
	}
	s.mu.Unlock()
	s.waitForPhase(rollout.Canary, testWait)
	require.NoError(t, s.order("v2", duration), "repeated")
	// No server of the candidate serves: it is rolled back at the deadline.
	s.waitForPhase(rollout.RolledBack, duration+time.Second-time.Since(begun))
	require.GreaterOrEqual(t, time.Since(begun), duration-time.Second)
	require.NoError(t, s.order("v2", duration), "a new order")
	s.waitForPhase(rollout.Canary, testWait)
}

// Guards against invalid orders that change something.
func TestInvalidRolloutsAreRefused(t *testing.T) {
	s := newRolloutSite(t)
	for _, o := range []RolloutOrder{
		{Service: "unknown", To: "v2", Duration: time.Second},
		{Service: "web", Duration: time.Second},
		{Service: "web", To: "v2"},
		{Service: "web", To: "v2", Duration: -1},
		{Service: "web", To: "v2", Duration: MaxRolloutDuration + 1},
		{Service: "web", To: "v1", Duration: time.Second},
	} {
		for _, r := range s.running() {
			require.Eventually(t, func() bool {
				return trace.IsBadParameter(r.StartRollout(t.Context(), o))
			}, testWait, 10*time.Millisecond, fmt.Sprint(o))
		}
	}
	last, exists, err := s.running()[0].LastRollout(t.Context(), "web")
	require.NoError(t, err)
	require.False(t, exists, last)
	// Several services may have rollouts at the same time.
	require.NoError(t, s.order("v2", time.Minute))
	require.Eventually(t, func() bool {
		return s.running()[0].StartRollout(t.Context(), RolloutOrder{Service: "other", To: "v2", Duration: time.Minute}) == nil
	}, testWait, 10*time.Millisecond)
}

// Guards against a read, or an order, that a replica answers without a majority.
func TestRolloutsNeedAMajority(t *testing.T) {
	s := newRolloutSite(t)
	require.NoError(t, s.order("v2", time.Minute))
	s.mu.Lock()
	s.kill(address(0))
	s.kill(address(1))
	s.mu.Unlock()
	r := s.running()[0]
	_, _, err := r.LastRollout(t.Context(), "web")
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.ErrorIs(t, r.StartRollout(t.Context(), RolloutOrder{Service: "web", To: "v2", Duration: time.Minute}), ErrOutcomeUnknown)
	// Its own log may lack a rollout to a version that it has not seen before.
	a := serverAnnouncement("s9", 1, instance.StateServing)
	a.Version = "v9"
	require.Error(t, r.Announce(t.Context(), a))
	a.Version = "v1"
	require.NoError(t, r.Announce(t.Context(), a))
}
