package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// fullPool returns a pool that has all shares and level tokens.
func fullPool(l Limit, level float64) *Pool {
	p := &Pool{}
	p.SetLimit(l, start)
	p.AddShare("self", 1, start.Add(-time.Duration(level/l.Rate*float64(time.Second))), start.Add(forever), start)
	return p
}

func allow(p *Pool, cost float64, late bool, now time.Time) (bool, time.Duration) {
	return Allow([]*Pool{p}, cost, late, now)
}

// A workspace sends ten times its limit. Guards against a pool that admits more than the
// limit, or that gives refused callers the same time to retry: all would return together for
// the tokens of one.
func TestSurgeAdmitsLimitAndSpreadsRetries(t *testing.T) {
	const rate, burst, cost = 100.0, 200.0, 10.0
	p := fullPool(Limit{Burst: burst, Rate: rate}, burst)
	admitted := make([]float64, 10)
	waits := make(map[time.Duration]bool)
	refused := 0
	for i := range 1000 {
		ok, wait := allow(p, cost, false, start.Add(time.Duration(i)*10*time.Millisecond))
		if ok {
			admitted[i/100] += cost
			continue
		}
		refused++
		waits[wait] = true
		require.Positive(t, wait)
		require.LessOrEqual(t, wait, time.Duration((maxPromisedSeconds+burst/rate)*float64(time.Second)))
	}
	require.InDelta(t, burst+rate, admitted[0], cost)
	for _, n := range admitted[1:] {
		require.InDelta(t, rate, n, cost)
	}
	require.Greater(t, len(waits), 20)
	require.Greater(t, refused, 800)
}

// Guards against a request larger than the burst that is never admitted, or that is admitted
// without delaying the requests after it.
func TestRequestLargerThanBurstIsAdmittedWhenFull(t *testing.T) {
	p := fullPool(Limit{Burst: 100, Rate: 10}, 50)
	ok, wait := allow(p, 250, false, start)
	require.False(t, ok)
	require.Equal(t, 5*time.Second, wait)
	ok, _ = allow(p, 250, false, start.Add(5*time.Second))
	require.True(t, ok)
	ok, wait = allow(p, 10, false, start.Add(5*time.Second))
	require.False(t, ok)
	require.Greater(t, wait, 15*time.Second)
}

// Guards against a pool with a minority of the shares that admits a request larger than its
// capacity: several such pools would together exceed the limit.
func TestMinorityPoolRefusesLargeRequest(t *testing.T) {
	p := &Pool{}
	p.SetLimit(Limit{Burst: 100, Rate: 10}, start)
	p.AddShare("self", 0.25, start, start.Add(forever), start)
	ok, _ := allow(p, 60, false, start.Add(time.Minute))
	require.False(t, ok)
	ok, _ = allow(p, 25, false, start.Add(time.Minute))
	require.True(t, ok)
}

// Guards against requests past their objective that use up the tokens of those that can still
// meet it, or that stay refused once the workspace sends less.
func TestLateRequestsLeaveReserve(t *testing.T) {
	p := fullPool(Limit{Burst: 100, Rate: 10, LateReserve: 0.25}, 30)
	ok, _ := allow(p, 10, true, start)
	require.False(t, ok)
	ok, _ = allow(p, 10, false, start)
	require.True(t, ok)
	ok, _ = allow(p, 10, true, start.Add(2*time.Second))
	require.True(t, ok)
	ok, _ = allow(p, 1000, true, start.Add(time.Minute))
	require.True(t, ok, "also one that is larger than the burst")
}

// Guards against a lowered limit that still admits the tokens saved under the higher one.
func TestLoweredLimitDropsUnusedTokens(t *testing.T) {
	p := fullPool(Limit{Burst: 1000, Rate: 1000}, 1000)
	p.SetLimit(Limit{Burst: 10, Rate: 10}, start)
	admitted := 0
	for range 1000 {
		if ok, _ := allow(p, 1, false, start); ok {
			admitted++
		}
	}
	require.Equal(t, 10, admitted)
}

// An entry has lent its share and is partitioned from the borrower. Guards against an entry
// that uses the share during the lease, or that cannot use it afterwards.
func TestShareReturnsWhenLeaseExpires(t *testing.T) {
	l := Limit{Burst: 100, Rate: 100}
	set := NewPoolSet("a")
	set.SetShare(0.5, start, start)
	key := Key{Workspace: "w"}
	set.Pool(key, l, start)
	share, saved, ok := set.Lend(key, "b", "b", time.Second, start)
	require.True(t, ok)
	require.Equal(t, 0.5, share)
	require.Zero(t, saved)
	require.Equal(t, "b", set.Borrower(key, start))
	ok, _ = allow(set.Pool(key, l, start.Add(900*time.Millisecond)), 1, false, start.Add(900*time.Millisecond))
	require.False(t, ok, "lent")

	at := start.Add(1200 * time.Millisecond)
	require.Empty(t, set.Borrower(key, at))
	p := set.Pool(key, l, at)
	ok, _ = allow(p, 10, false, at)
	require.True(t, ok)
	ok, _ = allow(p, 1, false, at)
	require.False(t, ok, "0.2 s at half the rate")
}

// Entries disagree on a pool's owner. Guards against a share that is lent to two of them at a
// time, or that does not move to the owner when the lease expires.
func TestShareIsLentToOneBorrower(t *testing.T) {
	set := NewPoolSet("a")
	set.SetShare(0.5, start, start)
	key := Key{Workspace: "w"}
	lend := func(borrower string, at time.Duration) bool {
		_, _, ok := set.Lend(key, borrower, "c", time.Second, start.Add(at))
		return ok
	}
	require.True(t, lend("b", 0), "the owner does not request it")
	require.True(t, lend("b", 500*time.Millisecond))
	require.False(t, lend("c", 600*time.Millisecond))
	require.False(t, lend("b", 700*time.Millisecond), "the owner requests it")
	require.True(t, lend("c", 1500*time.Millisecond))
	require.False(t, lend("b", 1600*time.Millisecond))
}

// A limit is removed and set again while an entry's share of it is lent. Guards against an
// entry that then uses the share as well as its borrower.
func TestRemovedLimitKeepsLease(t *testing.T) {
	set := NewPoolSet("a")
	set.SetShare(0.5, start, start)
	key := Key{Workspace: "w"}
	_, _, ok := set.Lend(key, "b", "b", time.Second, start)
	require.True(t, ok)
	set.Retain(func(string) bool { return false }, start.Add(100*time.Millisecond))
	require.Equal(t, "b", set.Borrower(key, start.Add(200*time.Millisecond)))
	set.Retain(func(string) bool { return false }, start.Add(2*time.Second))
	require.Empty(t, set.pools)
}

// Guards against leases that expire before they are renewed once there are a thousand entries,
// so that an owner has only some of the shares and refuses requests within the limit; and
// against an owner that, just started, asks a thousand entries ten times a second.
func TestLeasesOfManyEntries(t *testing.T) {
	for _, entries := range []int{2, 6, 60, 190, 370, 984, 2000, 4000} {
		require.LessOrEqual(t, 2*RenewPeriod(entries)+leaseMargin, LeaseDuration(entries), "%d entries: a lease survives a lost request", entries)
		require.LessOrEqual(t, LeaseDuration(entries), maxLease)
		require.LessOrEqual(t, FirstRenewPeriod(entries), RenewPeriod(entries))
		requestsPerSecond := float64(entries) / FirstRenewPeriod(entries).Seconds()
		if entries <= 2000 {
			require.LessOrEqual(t, requestsPerSecond, 1000.0, "%d entries", entries)
		}
	}
}

// naivePool is a pool that looks at every share each time.
type naivePool struct {
	limit     Limit
	shares    map[string]share
	level     float64
	updatedAt time.Time
}

func (p *naivePool) sum() float64 {
	sum := 0.0
	for _, s := range p.shares {
		sum += s.fraction
	}
	return sum
}

func (p *naivePool) fill(now time.Time) {
	for entry, s := range p.shares {
		until := now
		if s.until.Before(now) {
			until = s.until
		}
		p.level += p.limit.Rate * s.fraction * positiveSeconds(until.Sub(p.updatedAt))
		if !s.until.After(now) {
			delete(p.shares, entry)
		}
	}
	p.updatedAt = now
	p.level = min(p.level, p.limit.Burst*p.sum())
}

// Guards against tokens that are gained or lost, and shares that stay too long, since a pool does not
// look at each share for each request: an owner has those of hundreds of entries.
func TestPoolEqualsOneThatLooksAtEveryShare(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l, now := Limit{Burst: 5000, Rate: 1000}, start
		pool := &Pool{updatedAt: now}
		pool.SetLimit(l, now)
		naive := &naivePool{limit: l, shares: make(map[string]share), updatedAt: now}
		for step := range 2000 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			entry := fmt.Sprint(rng.IntN(30))
			switch rng.IntN(4) {
			case 0, 1:
				fraction, until := 0.01*float64(1+rng.IntN(3)), now.Add(time.Duration(rng.IntN(4000))*time.Millisecond)
				pool.AddShare(entry, fraction, now, until, now)
				naive.fill(now)
				if old, exists := naive.shares[entry]; !exists || until.After(old.until) {
					naive.shares[entry] = share{fraction: fraction, until: until}
				}
			case 2:
				held := pool.RemoveShare(entry, now)
				naive.fill(now)
				_, want := naive.shares[entry]
				require.Equal(t, want, held)
				delete(naive.shares, entry)
			default:
				ok, _ := Allow([]*Pool{pool}, 50, false, now)
				naive.fill(now)
				if ok {
					naive.level -= 50
				}
			}
			naive.fill(now)
			require.InDelta(t, naive.sum(), pool.ShareSum(now), 1e-9, "seed %d, step %d", seed, step)
			require.InDelta(t, naive.level, pool.level, 1e-6, "seed %d, step %d", seed, step)
			require.Len(t, pool.expiries, len(pool.shares))
		}
	}
}
