package urgency

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const objective = 500 * time.Millisecond

func TestDecide(t *testing.T) {
	fresh := Request{Rank: 1, Objective: objective, Waited: 10 * time.Millisecond, ExpectedWait: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(*Request)
		rank   int
		reason Reason
	}{
		"on time":           {func(*Request) {}, 1, InTime},
		"behind others":     {func(r *Request) { r.ExpectedWait = time.Second }, 1 + lateRankOffset, Late},
		"waited":            {func(r *Request) { r.Waited = time.Second }, 1 + lateRankOffset, Late},
		"retried":           {func(r *Request) { r.Retried = true }, 1 + lateRankOffset, CallerRetried},
		"large prompt":      {func(r *Request) { r.ExpectedWait, r.PrefillTime = time.Second, 600*time.Millisecond }, 1, LargePrompt},
		"without objective": {func(r *Request) { r.Objective, r.ExpectedWait = 0, time.Hour }, 1, InTime},
		"just on time":      {func(r *Request) { r.ExpectedWait = objective - r.Waited }, 1, InTime},
	} {
		r := fresh
		c.change(&r)
		rank, reason := Decide(r)
		require.Equal(t, c.rank, rank, name)
		require.Equal(t, c.reason, reason, name)
		require.NotEmpty(t, reason.String())
	}
}

// A late request must not be served before one that can still meet its objective, and late
// ones keep their order of rank.
func TestLateRequestsKeepOrderBehindOnTimeRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Request {
			return Request{
				Rank: rapid.IntRange(0, lateRankOffset-1).Draw(t, name+" rank"), Objective: objective,
				ExpectedWait: time.Duration(rapid.IntRange(0, 1000).Draw(t, name+" expected")) * time.Millisecond,
				Retried:      rapid.Bool().Draw(t, name+" retried"),
			}
		}
		a, b := draw("a"), draw("b")
		rankA, reasonA := Decide(a)
		rankB, reasonB := Decide(b)
		switch {
		case (reasonA == InTime) == (reasonB == InTime):
			require.Equal(t, a.Rank < b.Rank, rankA < rankB)
		case reasonA == InTime:
			require.Less(t, rankA, rankB)
		}
	})
}

// job is a request waiting at the simulated server.
type job struct {
	arrived time.Duration
	rank    int
}

// simulate sends a request per interval for ten seconds to a server that prefills one at a
// time, lowest rank first. It returns how many met their objective, as a fraction of those
// that the server could prefill. Callers time out after three seconds.
func simulate(interval, prefill time.Duration, decide func(Request) int) float64 {
	const callerTimeout = 3 * time.Second
	var queue []job
	var busyUntil time.Duration
	inTime := 0
	step := func(until time.Duration) {
		for len(queue) > 0 && busyUntil <= until {
			next := slices.MinFunc(queue, func(a, b job) int { return a.rank - b.rank })
			queue = slices.DeleteFunc(queue, func(j job) bool { return j == next })
			if busyUntil-next.arrived > callerTimeout {
				continue
			}
			busyUntil = max(busyUntil, next.arrived) + prefill
			if busyUntil-next.arrived <= objective {
				inTime++
			}
		}
	}
	const duration = 10 * time.Second
	for at := time.Duration(0); at < duration; at += interval {
		step(at)
		ahead := 0 // requests that would be served before it
		for _, j := range queue {
			if j.rank == 0 {
				ahead++
			}
		}
		expected := max(busyUntil-at, 0) + time.Duration(ahead+1)*prefill
		queue = append(queue, job{at, decide(Request{Objective: objective, ExpectedWait: expected, PrefillTime: prefill})})
	}
	return float64(inTime) / (float64(duration) / float64(prefill))
}

// At 1.5 times the capacity, serving in order of arrival makes nearly all answers late. With
// late requests ranked last, nearly as many as the server can handle meet the objective.
func TestOverloadServesOnTimeRequestsFirst(t *testing.T) {
	const prefill = 60 * time.Millisecond
	inOrder := simulate(prefill*2/3, prefill, func(Request) int { return 0 })
	byUrgency := simulate(prefill*2/3, prefill, func(r Request) int { rank, _ := Decide(r); return rank })
	t.Logf("fraction of capacity that met the objective: %.2f in order of arrival, %.2f by urgency", inOrder, byUrgency)
	require.Less(t, inOrder, 0.3)
	require.Greater(t, byUrgency, 0.9)
}
