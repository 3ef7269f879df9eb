package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/limit"
)

// Hundreds of entries start for the first time, or all restart, and are too busy to answer at
// once. Guards against each asking all others again and again for the shares that it may have
// lent: the fleet would be occupied with nothing else before its first request.
func TestEntriesThatStartTogetherAskForFewReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, perSecond = 150, 150_000.0
		s := newLimitSite(t, entries, perSecond, 110_000, 1)
		s.delay = 400 * time.Millisecond
		e := s.entries[entries-1] // its directory has the others
		requestsInASecond := func() int {
			before := e.returnRequests.Load()
			for range time.Second / renewInterval {
				e.renewShares()
				time.Sleep(renewInterval)
			}
			return int(e.returnRequests.Load() - before)
		}
		require.Zero(t, requestsInASecond(), "there are no votes yet")
		e.heartbeat()
		require.Zero(t, requestsInASecond(), "it has no previous incarnation")
		require.Positive(t, e.process.Load().limits.shares.share(time.Now()))

		for _, other := range s.entries {
			other.heartbeat()
			other.start()
		}
		e.heartbeat()
		requests := requestsInASecond()
		require.LessOrEqual(t, requests, 1000)
		require.GreaterOrEqual(t, requests, entries-1)
		require.Positive(t, e.process.Load().limits.shares.share(time.Now()), "all have answered")
	})
}

// Guards against waking every entry of a large fleet twenty times a second, though only the owners
// of pools have leases to renew; and against an owner that renews too rarely.
func TestOnlyOwnersRenewOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(t, 30, 150_000, 110_000, 1)
		defer s.run()()
		owners := 0
		for _, e := range s.entries {
			l := e.process.Load().limits
			want := idleRenewInterval
			for pool := range limitPools {
				if l.exchange.poolOwner(limit.Key{Workspace: "w", Number: pool}) == e.name {
					want = renewInterval
					owners++
				}
			}
			require.Equal(t, want, l.renewDelay(), e.name)
		}
		require.Equal(t, limitPools, owners)
		s.entries[0].start()
		require.Equal(t, renewInterval, s.entries[0].process.Load().limits.renewDelay(), "it has no share yet")
	})
}
