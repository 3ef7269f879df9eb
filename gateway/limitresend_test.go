package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/limit"
)

// Guards against callers far below their limit who are refused while messages between entries take long:
// a request that an entry sends to a pool's owner again, since it has no response yet, is the same one,
// and its cost must be taken once.
func TestRequestSentToOwnerAgainCostsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		s.delay = responseTimeout * 5 / 6 // a round trip exceeds the timeout
		defer s.run()()
		offered, admitted := s.sendLoad(0.9*perSecond, 20*time.Second)
		t.Logf("%.3f admitted", admitted/offered)
		require.GreaterOrEqual(t, admitted, 0.98*offered)
		s.requireWithinLimit(t)
	})
}

// Guards against a response to another request, or to an earlier incarnation of the entry, that is taken
// for that to a request which was sent again.
func TestOnlyTheSameRequestGetsItsResponseAgain(t *testing.T) {
	var s sentResponses
	decided := 0
	decide := func() (limitResponse, bool) {
		decided++
		return limitResponse{OK: true, Wait: time.Duration(decided)}, true
	}
	ask := func(from string, life, sequence uint64) int {
		response, known := s.once(&message{From: from, Life: life, Sequence: sequence}, decide)
		require.True(t, known)
		return int(response.Wait)
	}
	require.Equal(t, 1, ask("a", 1, 1))
	require.Equal(t, 1, ask("a", 1, 1))
	require.Equal(t, 2, ask("a", 1, 2))
	require.Equal(t, 3, ask("b", 1, 1))
	require.Equal(t, 4, ask("a", 2, 1), "another incarnation")
	for sequence := range uint64(keptResponses) {
		ask("a", 2, sequence+2)
	}
	require.Equal(t, keptResponses+5, ask("a", 2, 1), "too old to be sent again")
	_, known := s.once(&message{From: "c", Life: 1, Sequence: 1}, func() (limitResponse, bool) { return limitResponse{}, false })
	require.False(t, known)
}

// Guards against a Retry-After far shorter than the time until a workspace's limit admits its callers, which
// come back to be refused: the entry repeats an owner's refusal with a shorter wait than the owner's.
func TestRepeatedRefusalHasTheOwnersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitSite(t, 1, 150_000, 110_000, 1).entries[0].process.Load().limits
		key := limit.Key{Workspace: "w"}
		const wait, cost = 10 * time.Second, 100.0
		l.startBackoff(key, cost, wait)
		for elapsed := time.Duration(0); elapsed < maxBackoff; elapsed += maxBackoff / 4 {
			repeated, refused := l.inBackoff(key, cost)
			require.True(t, refused)
			require.Equal(t, wait-elapsed, repeated)
			time.Sleep(maxBackoff / 4)
		}
		_, refused := l.inBackoff(key, cost)
		require.False(t, refused, "the owner is asked again")
	})
}
