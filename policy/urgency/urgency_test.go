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
	fresh := Request{Rank: 1, Objective: objective, Waited: 10 * time.Millisecond, Expected: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		change func(*Request)
		rank   int
		reason Reason
	}{
		"in time":            {func(*Request) {}, 1, InTime},
		"behind others":      {func(r *Request) { r.Expected = time.Second }, 1 + behind, Late},
		"waited":             {func(r *Request) { r.Waited = time.Second }, 1 + behind, Late},
		"came back":          {func(r *Request) { r.Retried = true }, 1 + behind, CallerRetried},
		"large by itself":    {func(r *Request) { r.Expected, r.PrefillTime = time.Second, 600*time.Millisecond }, 1, LargePrompt},
		"without objective":  {func(r *Request) { r.Objective, r.Expected = 0, time.Hour }, 1, InTime},
		"at the last moment": {func(r *Request) { r.Expected = objective - r.Waited }, 1, InTime},
	} {
		r := fresh
		c.change(&r)
		rank, reason := Decide(r)
		require.Equal(t, c.rank, rank, name)
		require.Equal(t, c.reason, reason, name)
		require.NotEmpty(t, reason.String())
	}
}

// Whatever is told of requests, those that will be late keep their order among
// themselves, and stand behind all that can be in time.
func TestOrderIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Request {
			return Request{
				Rank: rapid.IntRange(0, behind-1).Draw(t, name+" rank"), Objective: objective,
				Expected: time.Duration(rapid.IntRange(0, 1000).Draw(t, name+" expected")) * time.Millisecond,
				Retried:  rapid.Bool().Draw(t, name+" came back"),
			}
		}
		a, b := draw("a"), draw("b")
		rankA, whyA := Decide(a)
		rankB, whyB := Decide(b)
		switch {
		case (whyA == InTime) == (whyB == InTime):
			require.Equal(t, a.Rank < b.Rank, rankA < rankB)
		case whyA == InTime:
			require.Less(t, rankA, rankB)
		}
	})
}

// job is a request at the one server of the test.
type job struct {
	came time.Duration
	rank int
}

// play has requests come at a pace for ten seconds to a server that reads one after the
// other, the most urgent first, and returns how many of those that it could have read
// were in time. Callers leave after three seconds.
func play(every, read time.Duration, decide func(Request) int) float64 {
	const patience = 3 * time.Second
	var queue []job
	var busyUntil time.Duration
	inTime := 0
	step := func(until time.Duration) {
		for len(queue) > 0 && busyUntil <= until {
			next := slices.MinFunc(queue, func(a, b job) int { return a.rank - b.rank })
			queue = slices.DeleteFunc(queue, func(j job) bool { return j == next })
			if busyUntil-next.came > patience {
				continue
			}
			busyUntil = max(busyUntil, next.came) + read
			if busyUntil-next.came <= objective {
				inTime++
			}
		}
	}
	const length = 10 * time.Second
	for at := time.Duration(0); at < length; at += every {
		step(at)
		ahead := 0 // of those that would be read before it
		for _, j := range queue {
			if j.rank == 0 {
				ahead++
			}
		}
		expected := max(busyUntil-at, 0) + time.Duration(ahead+1)*read
		queue = append(queue, job{at, decide(Request{Objective: objective, Expected: expected, PrefillTime: read})})
	}
	return float64(inTime) / (float64(length) / float64(read))
}

// For ten seconds half as much again is asked as the server can do. Served in the order
// in which they came, hardly any caller has its answer in time; with those behind that
// will be late anyway, nearly as many as the server can serve.
func TestOverload(t *testing.T) {
	const read = 60 * time.Millisecond
	inOrder := play(read*2/3, read, func(Request) int { return 0 })
	decided := play(read*2/3, read, func(r Request) int { rank, _ := Decide(r); return rank })
	t.Logf("in time, of what the server can do: %.2f in order, %.2f decided", inOrder, decided)
	require.Less(t, inOrder, 0.3)
	require.Greater(t, decided, 0.9)
}
