package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

// prefillTokensPerSecond is how many tokens the servers of these tests read in a second.
const prefillTokensPerSecond = 64_000

// learningRouter is a Router with one idle server, and the time.
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

// sendPrompt has a prompt read, after other work that takes so long.
func (l *learningRouter) sendPrompt(tokens int, otherWork time.Duration) {
	v := l.Choose(&Request{Now: l.now, PromptTokens: tokens})
	require.True(l.t, v.OK())
	a := l.Started(&v, l.now)
	l.now = l.now.Add(otherWork + firstTokenOverhead + time.Duration(float64(tokens)/prefillTokensPerSecond*float64(time.Second)))
	l.Finished(&a, l.now)
}

// Engines read prompts eight times as fast as an entry assumes that has just started.
// Until it knows, a cached part seems worth eight times what it is, and requests queue
// for it while other servers idle; and the fleet can't be sized from what is sent.
//
// It breaks with short steps alone, and if the time that is not spent on reading counts.
func TestLearnedPrefillRateConverges(t *testing.T) {
	r := newLearningRouter(t)
	require.Zero(t, r.LearnedPrefillRate())
	for i := range minRateSamples {
		r.sendPrompt(2000+500*(i%10), 0)
	}
	require.InEpsilon(t, prefillTokensPerSecond, r.LearnedPrefillRate(), 0.25)
	for i := range 200 {
		r.sendPrompt(2000+500*(i%10), 0)
		require.InEpsilon(t, prefillTokensPerSecond, r.LearnedPrefillRate(), 0.25, "it stays there")
	}
}

// Servers are overloaded: two of three first tokens wait for other work. The rate stays
// that of a server that is not hindered; a lower one would ask for servers that the load
// does not need, and keep requests together that should spread.
//
// It breaks if the rate is the median of what is seen.
func TestLearnedPrefillRateUnderOverload(t *testing.T) {
	r := newLearningRouter(t)
	for i := range 1000 {
		otherWork := time.Second
		if i%3 == 0 {
			otherWork = 0
		}
		r.sendPrompt(5000, otherWork)
	}
	require.InEpsilon(t, prefillTokensPerSecond, r.LearnedPrefillRate(), 0.25)
}

// An entry that has just started is told what the others have learnt, and goes on from
// there by what it sees. One that knows is told nothing new.
func TestSuggestedPrefillRate(t *testing.T) {
	cfg := DefaultConfig()
	cfg.LearnPrefill = true
	r, err := New(cfg)
	require.NoError(t, err)
	r.SuggestPrefillRate(0)
	require.Zero(t, r.LearnedPrefillRate())
	r.SuggestPrefillRate(50_000)
	require.InDelta(t, 50_000, r.LearnedPrefillRate(), 0)
	r.SuggestPrefillRate(20_000)
	require.InDelta(t, 50_000, r.LearnedPrefillRate(), 0)
}
