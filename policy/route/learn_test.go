package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

// prefillTokensPerSecond is the actual prefill rate of the servers in these tests.
const prefillTokensPerSecond = 64_000

// learningRouter is a Router with one idle server, and the current time.
type learningRouter struct {
	*Router
	t   *testing.T
	now time.Time
}

func newLearningRouter(t *testing.T) *learningRouter {
	cfg := DefaultConfig()
	cfg.LearnPrefill = true
	r, err := New(cfg)
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	r.Announce(&instance.Announcement{ID: "s1", Incarnation: 1, Sequence: 1, Slots: 64, State: instance.StateServing}, now, now)
	return &learningRouter{r, t, now}
}

// samples returns the number of samples that the rate was learned from.
func (l *learningRouter) samples() int {
	_, samples := l.LearnedPrefillRate()
	return samples
}

// sendPrompt runs a request whose prefill starts after otherWork.
func (l *learningRouter) sendPrompt(tokens int, otherWork time.Duration) {
	v := l.Choose(&Request{Now: l.now, PromptTokens: tokens})
	require.True(l.t, v.OK())
	a := l.Started(&v, l.now)
	l.now = l.now.Add(otherWork + firstTokenOverhead + time.Duration(float64(tokens)/prefillTokensPerSecond*float64(time.Second)))
	l.Finished(&a, l.now)
}

// The servers prefill eight times as fast as the configured rate. Until the rate is corrected,
// cached prefixes are overvalued, so that requests queue for them while other servers idle, and
// the reported rate misleads capacity planning. Fails with short steps only, and if time that
// is not spent on prefill counts.
func TestLearnedPrefillRateConverges(t *testing.T) {
	r := newLearningRouter(t)
	require.Zero(t, r.samples())
	for i := range MinRateSamples {
		r.sendPrompt(2000+500*(i%10), 0)
	}
	require.Equal(t, MinRateSamples, r.samples())
	require.InEpsilon(t, prefillTokensPerSecond, r.PrefillRate(), 0.25)
	for i := range 200 {
		r.sendPrompt(2000+500*(i%10), 0)
		require.InEpsilon(t, prefillTokensPerSecond, r.PrefillRate(), 0.25, "the learned rate must not drift")
	}
}

// Under overload, two of three first tokens wait for other work. The learned rate must stay
// that of an unhindered server; a lower one would request too many servers and keep requests
// together that should spread. Fails if the rate is the median of the samples.
func TestLearnedPrefillRateUnderOverload(t *testing.T) {
	r := newLearningRouter(t)
	for i := range 1000 {
		otherWork := time.Second
		if i%3 == 0 {
			otherWork = 0
		}
		r.sendPrompt(5000, otherWork)
	}
	require.InEpsilon(t, prefillTokensPerSecond, r.PrefillRate(), 0.25)
}

// A new entry must use the rate that other entries learned, and an entry with a learned rate
// must ignore suggestions.
func TestSuggestedPrefillRate(t *testing.T) {
	cfg := DefaultConfig()
	cfg.LearnPrefill = true
	r, err := New(cfg)
	require.NoError(t, err)
	r.SuggestPrefillRate(0)
	require.InDelta(t, cfg.PrefillRate, r.PrefillRate(), 0)
	r.SuggestPrefillRate(50_000)
	require.InDelta(t, 50_000, r.PrefillRate(), 0)
	r.SuggestPrefillRate(20_000)
	require.InDelta(t, 50_000, r.PrefillRate(), 0)
	_, samples := r.LearnedPrefillRate()
	require.Zero(t, samples, "suggested rates must not be reported as this entry's")
}
