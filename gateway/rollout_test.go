package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/quorum"
	"savoryreel.example/savoryreel/policy/rollout"
	"savoryreel.example/savoryreel/routes"
)

// testLimits are the bounds of rollouts in these tests.
var testLimits = rollout.Limits{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second}

// newRolloutRig returns a gateway with one route, on which a request may run on two servers.
func newRolloutRig(t *testing.T, kind routes.Kind) *rig {
	r := newRig(t)
	r.rollouts.limits = testLimits
	r.setRoutes(routes.Route{Prefix: "/", Kind: kind, MaxServers: 2, Resumable: kind == routes.Stream})
	return r
}

// versionServer adds a server of a version to the service web.
func (r *rig) versionServer(version string, handle http.HandlerFunc) *standIn {
	return r.serverOf(version, "web", handle)
}

// report applies a reply of the only control replica that reports a rollout from v1 to v2.
func (r *rig) report(id uint64, phase rollout.Phase) {
	r.receive(api.WatchReply{HasRollouts: true, Rollouts: []api.Rollout{{ID: id, Service: "web", To: "v2", From: []string{"v1"}, Phase: phase}}})
}

// receive applies a reply of the only control replica to a request that is sent now.
func (r *rig) receive(reply api.WatchReply) {
	reply.SentAt, reply.Revision, reply.Share = r.now(), 1, lone
	r.freshness.record("replica", &reply)
	r.rollouts.update(&reply)
}

// serveMany sends n requests and returns how many were answered.
func (r *rig) serveMany(n int) (answered int) {
	for range n {
		if _, refusal := r.serve("/x"); refusal == nil {
			answered++
		}
	}
	return answered
}

// sample returns the samples of the only route.
func (r *rig) sample() rollout.RouteSample {
	reports := r.rollouts.reports()
	require.Len(r.t, reports, 1)
	require.Len(r.t, reports[0].Routes, 1)
	return reports[0].Routes[0]
}

// Guards against a faulty version that gets more than its share in the canary phase: of n requests at one
// entry, Share*n + 1 at most.
func TestCandidateGetsItsShare(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	stable, candidate := r.versionServer("v1", respond("old")), r.versionServer("v2", respond("new"))
	r.report(1, rollout.Canary)
	const requests = 400
	require.Equal(t, requests, r.serveMany(requests))
	require.LessOrEqual(t, float64(candidate.count()), testLimits.Share*requests+1)
	require.GreaterOrEqual(t, float64(candidate.count()), 0.9*testLimits.Share*requests)
	require.Equal(t, requests, stable.count()+candidate.count())
}

// Guards against a fault on one route that stays hidden until all requests go to the candidate: however
// the routes take turns, the candidate must get requests of each.
func TestCandidateGetsEachRoute(t *testing.T) {
	for period := 2; period <= 4; period++ {
		r := newRolloutRig(t, routes.Idempotent)
		r.report(1, rollout.Canary)
		exposure := r.rollouts.byService["web"].exposure
		for range 240 {
			exposure.Requested() // before the candidate serves
		}
		got := make(map[int]int)
		for n := range 360 {
			_, _, rules := r.rollouts.rules("web", false)
			if rules[0].candidate {
				got[n%period]++
			}
			exposure.Requested()
		}
		require.Len(t, got, period, "requests at the candidate: %v", got)
	}
}

// Guards against requests to a candidate that was rolled back while this entry was cut off: without a
// reply of any control replica it sends the candidate nothing after the lease.
func TestCandidateGetsNothingAfterTheLease(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Canary, rollout.Shifting} {
		r := newRolloutRig(t, routes.Idempotent)
		r.versionServer("v1", respond("old"))
		candidate := r.versionServer("v2", respond("new"))
		r.report(1, phase)
		r.serveMany(100)
		before := candidate.count()
		require.Positive(t, before)
		r.clockOffset.Add(int64(rollout.LeaseTime(testLimits)))
		require.Equal(t, 100, r.serveMany(100))
		require.Equal(t, before, candidate.count(), phase)
		r.receive(api.WatchReply{})
		r.serveMany(100)
		require.Greater(t, candidate.count(), before, "a reply without a change renews the lease")
	}
}

// Guards against a lease that begins when a reply is read: a process that was starved reads replies that
// are seconds old.
func TestLeaseBeginsWhenTheReplicaReadItsState(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	sentAt := r.now()
	r.clockOffset.Add(int64(10 * time.Second))
	r.freshness.record("replica", &api.WatchReply{SentAt: r.now(), Share: lone})
	r.rollouts.update(&api.WatchReply{SentAt: sentAt, Held: time.Second})
	require.False(t, r.rollouts.leased())
	r.rollouts.update(&api.WatchReply{SentAt: sentAt, Held: 9500 * time.Millisecond})
	require.True(t, r.rollouts.leased())
}

// Guards against requests to a candidate that was rolled back while the only replica that still replies
// is cut off from the others, and does not know of it.
func TestLeaseNeedsAMajority(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	voter := func(id uint64) limit.Reply {
		return limit.Reply{View: quorum.View{Self: id, Voters: []uint64{1, 2, 3}}}
	}
	r.freshness.record("c2", &api.WatchReply{SentAt: r.now(), Share: voter(2)})
	for range 10 {
		r.clockOffset.Add(int64(time.Second))
		reply := api.WatchReply{SentAt: r.now(), Share: voter(1)}
		r.freshness.record("replica", &reply)
		r.rollouts.update(&reply)
	}
	require.False(t, r.rollouts.leased())
	r.freshness.record("c3", &api.WatchReply{SentAt: r.now(), Share: voter(3)})
	require.True(t, r.rollouts.leased())
}

// Guards against a rollout that goes back to an earlier phase because one replica lags behind, or that
// hides a later one of the service.
func TestNewestPhaseOfARolloutHolds(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	phase := func() rollout.Phase { return r.rollouts.byService["web"].Phase }
	for _, p := range []rollout.Phase{rollout.Canary, rollout.Shifting, rollout.RolledBack} {
		r.report(7, p)
		require.Equal(t, p, phase())
		r.report(7, rollout.Canary)
		r.report(6, rollout.Completed)
		require.Equal(t, p, phase())
	}
	r.receive(api.WatchReply{HasRollouts: true})
	require.Equal(t, rollout.RolledBack, phase(), "a replica that knows no rollout")
	r.report(8, rollout.Canary)
	require.Equal(t, rollout.Canary, phase())
	require.Zero(t, r.rollouts.byService["web"].bad)
}

// Guards against requests of the next rollout to a version that was rolled back and still serves.
func TestVersionThatWasRolledBackGetsNothingInTheNextRollout(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	r.versionServer("v1", respond("old"))
	rolledBack, candidate := r.versionServer("v2", respond("bad")), r.versionServer("v3", respond("new"))
	r.report(1, rollout.RolledBack)
	for _, phase := range []rollout.Phase{rollout.Canary, rollout.Shifting, rollout.Completed} {
		r.receive(api.WatchReply{
			HasRollouts: true, Rollouts: []api.Rollout{{ID: 2, Service: "web", To: "v3", From: []string{"v1"}, Phase: phase, Retired: []string{"v2"}}},
		})
		require.Equal(t, 50, r.serveMany(50))
	}
	require.Zero(t, rolledBack.count())
	require.Positive(t, candidate.count())
}

// Guards against a request that fails twice in a rollout: after the candidate has failed it, it must be
// sent to a stable server.
func TestRequestThatFailedOnTheCandidateGoesToStableServers(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Canary, rollout.Shifting} {
		r := newRolloutRig(t, routes.Idempotent)
		r.versionServer("v1", respond("old"))
		var failed atomic.Int64
		for range 3 {
			r.versionServer("v2", func(w http.ResponseWriter, _ *http.Request) {
				failed.Add(1)
				w.WriteHeader(http.StatusInternalServerError)
			})
		}
		r.fillBudgetFor(100)
		r.report(1, phase)
		require.Equal(t, 60, r.serveMany(60))
		require.Positive(t, failed.Load())
		sample := r.sample()
		require.Equal(t, uint64(failed.Load()), sample.Candidate.Bad)
		require.Equal(t, uint64(failed.Load()), sample.Candidate.Ended)
		require.Equal(t, uint64(60), sample.Stable.Ended)
		require.Zero(t, sample.Stable.Bad)
	}
}

// Guards against a stream that began at the candidate and goes on at a stable version when the candidate
// breaks it: it would be joined from two versions. The rest may come from another server of the candidate.
func TestStreamThatTheCandidateBrokeStaysAtItsVersion(t *testing.T) {
	r := newRolloutRig(t, routes.Stream)
	stable := r.versionServer("v1", stream(resumeAt, 4, true))
	r.versionServer("v2", stream(resumeAt, 2, false))
	r.fillBudgetFor(100)
	r.report(1, rollout.Shifting)
	for range 10 {
		out, refusal := r.serve("/x")
		require.NotNil(t, refusal)
		require.Equal(t, Truncated, refusal.Reason)
		require.NotContains(t, string(out.body), "event 4")
	}
	require.Equal(t, uint64(10), r.sample().Candidate.Bad)
	whole := r.versionServer("v2", stream(resumeAt, 4, true))
	for range 10 {
		out, refusal := r.serve("/x")
		require.Nil(t, refusal)
		require.Contains(t, string(out.body), "event 4")
	}
	sample := r.sample()
	require.Equal(t, uint64(10), sample.Candidate.Ended-sample.Candidate.Bad)
	require.Equal(t, 10, whole.count())
	require.Zero(t, sample.Stable.Ended)
	require.Zero(t, stable.count())
}

// Guards against a stream that began at a candidate which has been rolled back since, and gets the rest
// from it or from another version.
func TestStreamOfARolledBackCandidateIsNotTakenUp(t *testing.T) {
	r := newRolloutRig(t, routes.Stream)
	stable := r.versionServer("v1", stream(resumeAt, 4, true))
	candidate := r.versionServer("v2", stream(resumeAt, 2, false))
	r.report(1, rollout.Shifting)
	_, refusal := r.takeUp("a1", "", "")
	require.Equal(t, Truncated, refusal.Reason)
	r.report(1, rollout.RolledBack)
	sent := candidate.count()
	_, refusal = r.takeUp("a2", "a1", "2")
	require.NotNil(t, refusal)
	require.Equal(t, VersionNotServed, refusal.Reason)
	require.Equal(t, sent, candidate.count())
	require.Zero(t, stable.count())
}

// Guards against requests on stable servers that are cut off when those are stopped: in Shifting all new
// requests go to the candidate, and to stable servers only while no candidate can take them.
func TestShiftingSendsToTheCandidate(t *testing.T) {
	r := newRolloutRig(t, routes.NonIdempotent)
	stable := r.versionServer("v1", respond("old"))
	r.report(1, rollout.Shifting)
	require.Equal(t, 5, r.serveMany(5))
	require.Equal(t, 5, stable.count(), "no server of the candidate serves")
	candidate := r.versionServer("v2", respond("new"))
	require.Equal(t, 20, r.serveMany(20))
	require.Equal(t, 20, candidate.count())
	r.service("web").router.Pause("s2", 1, r.now().Add(time.Minute), r.now())
	require.Equal(t, 5, r.serveMany(5))
	require.Equal(t, 10, stable.count(), "the candidate's server has asked for a pause")
}

// Guards against a refusal of requests that a full server of the candidate has not run, though another one
// has room.
func TestRequestThatTheCandidateDidNotRunMayStayThere(t *testing.T) {
	r := newRolloutRig(t, routes.NonIdempotent)
	r.versionServer("v2", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.versionServer("v2", respond("new"))
	r.fillBudgetFor(100)
	r.report(1, rollout.Shifting)
	require.Equal(t, 20, r.serveMany(20))
}

// Guards against requests to servers that the platform stops, or has found faulty, after a rollout.
func TestExcludedVersionsGetNothing(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	stable, candidate := r.versionServer("v1", respond("old")), r.versionServer("v2", respond("new"))
	r.report(1, rollout.RolledBack)
	require.Equal(t, 30, r.serveMany(30))
	require.Zero(t, candidate.count())
	r.report(2, rollout.Completed)
	require.Equal(t, 30, r.serveMany(30))
	require.Equal(t, 30, stable.count())
	require.Equal(t, 30, candidate.count())
}

// Guards against a refusal of all requests after a completion while only servers of the old version
// serve, and against the use of a faulty version while no other serves.
func TestExcludedVersionServesOnlyAfterCompletion(t *testing.T) {
	r := newRolloutRig(t, routes.Idempotent)
	r.versionServer("v1", respond("old"))
	r.report(1, rollout.Completed)
	require.Equal(t, 5, r.serveMany(5))

	r = newRolloutRig(t, routes.Idempotent)
	faulty := r.versionServer("v2", respond("new"))
	r.report(1, rollout.RolledBack)
	_, refusal := r.serve("/x")
	require.Equal(t, NoServer, refusal.Reason)
	require.True(t, refusal.Reason.NotRun())
	require.Zero(t, faulty.count())
}

// Guards against a request that was chosen for a version before the rollout's end and is sent after it.
func TestSendIsWithdrawnWhenItsVersionIsExcluded(t *testing.T) {
	for _, c := range []struct {
		chosen, then rollout.Phase
		candidate    bool
		allowed      bool
	}{
		{rollout.Canary, rollout.Canary, true, true},
		{rollout.Canary, rollout.Shifting, true, true},
		{rollout.Canary, rollout.RolledBack, true, false},
		{rollout.Shifting, rollout.RolledBack, true, false},
		{rollout.Shifting, rollout.Completed, true, true},
		{rollout.Canary, rollout.Shifting, false, true},
		{rollout.Canary, rollout.RolledBack, false, true},
		{rollout.Shifting, rollout.Completed, false, false},
		{rollout.Completed, rollout.Completed, false, true},
	} {
		r := newRolloutRig(t, routes.Idempotent)
		r.report(1, c.chosen)
		send := &rolloutSend{rollouts: r.rollouts, rollout: r.rollouts.byService["web"], candidate: c.candidate, phase: c.chosen}
		r.report(1, c.then)
		require.Equal(t, c.allowed, send.maySend(), "%+v", c)
		r.clockOffset.Add(int64(rollout.LeaseTime(testLimits)))
		require.Equal(t, c.allowed && (!c.candidate || c.then.Ended()), send.maySend(), "%+v after the lease", c)
	}
}
