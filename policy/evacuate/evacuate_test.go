package evacuate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/policy"
)

func newPlanner(t require.TestingT) *Planner {
	p, err := New(DefaultConfig())
	require.NoError(t, err)
	return p
}

// bytesPerToken is the KV cache of a model with 32 layers and 8 KV heads of 128 values of
// 2 bytes each.
const bytesPerToken = 128 << 10

// mixedRequests returns n requests of which one in five is long.
func mixedRequests(rng *rand.Rand, n int) []Request {
	var requests []Request
	for i := range n {
		tokens := 100 + rng.IntN(900)
		if rng.IntN(5) == 0 {
			tokens = 8000 + rng.IntN(24_000)
		}
		remaining := time.Duration(1+rng.IntN(60)) * time.Second
		requests = append(requests, Request{fmt.Sprint(i), tokens, int64(tokens) * bytesPerToken, remaining})
	}
	return requests
}

// Guards against exports in order of arrival: short requests would use up the notice, and
// long ones would be prefilled again while their callers wait.
func TestFewerTokensRecomputedThanInOrderOfArrival(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	planned, byArrival, allTokens, lowerBound := 0, 0, 0, 0
	for range 200 {
		in := Input{Notice: 10 * time.Second, Bandwidth: 1.2e9, PrefillRate: 8000, Requests: mixedRequests(rng, 24)}
		planned += newPlanner(t).Decide(in).RecomputedTokens
		transferTotal := time.Duration(0)
		minRecomputed := -int(8 * in.Bandwidth / bytesPerToken) // minus the tokens that can be transferred in the usable notice
		for _, r := range in.Requests {
			allTokens += r.Tokens
			if r.Remaining > 5600*time.Millisecond {
				minRecomputed += r.Tokens
			}
			transfer := 20*time.Millisecond + time.Duration(float64(r.Bytes)/in.Bandwidth*1e9)
			if transferTotal+transfer > 8*time.Second {
				byArrival += r.Tokens
				continue
			}
			transferTotal += transfer
		}
		lowerBound += max(minRecomputed, 0)
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(allTokens) }
	t.Logf("tokens recomputed of %d: in order of arrival %.1f%%, planned %.1f%%, bandwidth allows %.1f%%",
		allTokens, percent(byArrival), percent(planned), percent(lowerBound))
	require.Less(t, planned*5, byArrival*4)
	require.Less(t, planned*10, lowerBound*11)
}

// Guards against a plan that exceeds the notice, which loses the KV cache of the last
// request, and against one that saves less than half of the optimum.
func TestPlanFitsNoticeAndSavesHalfOfBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{
			Notice:      time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond,
			Bandwidth:   float64(rapid.IntRange(0, 1000).Draw(t, "bandwidth")),
			PrefillRate: float64(rapid.IntRange(1, 100).Draw(t, "prefill")),
		}
		for i := range rapid.IntRange(0, 9).Draw(t, "requests") {
			r := Request{ID: fmt.Sprint(i), Tokens: rapid.IntRange(1, 500).Draw(t, "tokens")}
			r.Bytes = int64(rapid.IntRange(1, 4000).Draw(t, "bytes"))
			in.Requests = append(in.Requests, r)
		}
		p := newPlanner(t)
		plan := p.Decide(in)
		require.Equal(t, plan, p.Decide(in))
		require.Len(t, plan.Moves, len(in.Requests))
		usable := max(in.Notice-p.cfg.Reserve, 0)
		plannedIDs := map[string]bool{}
		previousEnd := time.Duration(0) // of the previous transfer
		for _, m := range plan.Moves {
			require.False(t, plannedIDs[m.ID])
			plannedIDs[m.ID] = true
			require.LessOrEqual(t, m.Start, usable)
			if m.Method == MethodExport {
				require.GreaterOrEqual(t, m.Start, previousEnd)
				previousEnd = m.Start + m.Duration
				require.LessOrEqual(t, m.Start+m.Duration, usable)
			}
		}
		bestSaved, maxSaved := 0, 0
		for subset := range 1 << len(in.Requests) {
			saved, transferTotal := 0, time.Duration(0)
			for i, r := range in.Requests {
				c := p.candidate(r, in)
				if subset>>i&1 == 1 && c.transfer.Seconds() <= p.cfg.MaxSlowdown*c.prefill.Seconds() {
					saved += r.Tokens
					transferTotal += c.transfer
				}
			}
			if transferTotal <= usable {
				bestSaved = max(bestSaved, saved)
			}
			maxSaved = max(maxSaved, saved)
		}
		allTokens := 0
		for _, r := range in.Requests {
			allTokens += r.Tokens
		}
		require.GreaterOrEqual(t, 2*(allTokens-plan.RecomputedTokens), bestSaved)
	})
}

// Guards against a small request with a slightly higher rate displacing a large one that
// fills the notice.
func TestLargestAloneBeatsManySmall(t *testing.T) {
	in := Input{Notice: 3 * time.Second, Bandwidth: 1000, PrefillRate: 100, Requests: []Request{
		{ID: "short", Tokens: 10, Bytes: 10},
		{ID: "long", Tokens: 300, Bytes: 980},
	}}
	require.Equal(t, 10, newPlanner(t).Decide(in).RecomputedTokens)
}

// Guards against moving a request that ends within the notice, and against an export that
// is slower than prefilling again.
func TestShortRequestsFinishAndSlowTransfersAreRecomputed(t *testing.T) {
	in := Input{Notice: 10 * time.Second, Bandwidth: 1000, PrefillRate: 100, Requests: []Request{
		{"ends", 100, 100, 2 * time.Second},
		{"slow", 10, 5000, time.Minute},
		{"export", 100, 1000, time.Minute},
	}}
	plan := newPlanner(t).Decide(in)
	require.Equal(t, []Move{
		{"export", MethodExport, ReasonSavesMost, 0, 1020 * time.Millisecond},
		{"slow", MethodRecompute, ReasonPrefillFaster, 0, 100 * time.Millisecond},
		{"ends", MethodFinish, ReasonEndsInTime, 8 * time.Second, time.Second},
	}, plan.Moves)
	require.Equal(t, 10, plan.RecomputedTokens)
}

// Guards against a configuration error that does not name the field at fault.
func TestConfigErrorNamesField(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxSlowdown = 0
	_, err := New(cfg)
	var fault *policy.ConfigError
	require.ErrorAs(t, err, &fault)
	require.Equal(t, "MaxSlowdown", fault.Field)
}
