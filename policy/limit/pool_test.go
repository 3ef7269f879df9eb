package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// full returns a pool that has all shares, filled up to level.
func full(l Limit, level float64) *Pool {
	p := &Pool{}
	p.SetLimit(l, start)
	p.AddShare("self", 1, start.Add(-time.Duration(level/l.Rate*float64(time.Second))), start.Add(always), start)
	return p
}

func take(p *Pool, cost float64, late bool, now time.Time) (bool, time.Duration) {
	return Allow([]*Pool{p}, cost, late, now)
}

// A workspace sends ten times its limit. What is let in is the limit, in every second,
// and those who are refused are told times that differ: told the same one, all would
// come back for the room of one.
func TestLimitUnderASurge(t *testing.T) {
	const rate, size, cost = 100.0, 200.0, 10.0
	p := full(Limit{Burst: size, Rate: rate}, size)
	let := make([]float64, 10)
	waits := make(map[time.Duration]bool)
	refused := 0
	for i := range 1000 {
		ok, wait := take(p, cost, false, start.Add(time.Duration(i)*10*time.Millisecond))
		if ok {
			let[i/100] += cost
			continue
		}
		refused++
		waits[wait] = true
		require.Positive(t, wait)
		require.LessOrEqual(t, wait, time.Duration((mostPromised+size/rate)*float64(time.Second)))
	}
	require.InDelta(t, size+rate, let[0], cost)
	for _, n := range let[1:] {
		require.InDelta(t, rate, n, cost)
	}
	require.Greater(t, len(waits), 20)
	require.Greater(t, refused, 800)
}

// One request is larger than all that its workspace may use at once. It goes through
// once the pool is full, and is paid off afterwards.
func TestRequestLargerThanTheLimit(t *testing.T) {
	p := full(Limit{Burst: 100, Rate: 10}, 50)
	ok, wait := take(p, 250, false, start)
	require.False(t, ok)
	require.Equal(t, 5*time.Second, wait)
	ok, _ = take(p, 250, false, start.Add(5*time.Second))
	require.True(t, ok)
	ok, wait = take(p, 10, false, start.Add(5*time.Second))
	require.False(t, ok)
	require.Greater(t, wait, 15*time.Second)
}

// A pool with few of the shares would let in a request that is larger than it can hold, and
// so would each of the others: together they would pass the limit.
func TestSmallPoolLetsInNoLargeRequest(t *testing.T) {
	p := &Pool{}
	p.SetLimit(Limit{Burst: 100, Rate: 10}, start)
	p.AddShare("self", 0.25, start, start.Add(always), start)
	ok, _ := take(p, 60, false, start.Add(time.Minute))
	require.False(t, ok)
	ok, _ = take(p, 25, false, start.Add(time.Minute))
	require.True(t, ok)
}

// Requests that are late already leave a part of the limit to those that are not, and are
// let in once the workspace sends less.
func TestLateRequestsLeaveRoom(t *testing.T) {
	p := full(Limit{Burst: 100, Rate: 10, LateReserve: 0.25}, 30)
	ok, _ := take(p, 10, true, start)
	require.False(t, ok)
	ok, _ = take(p, 10, false, start)
	require.True(t, ok)
	ok, _ = take(p, 10, true, start.Add(2*time.Second))
	require.True(t, ok)
	ok, _ = take(p, 1000, true, start.Add(time.Minute))
	require.True(t, ok, "also one that is larger than the limit")
}

// A limit is lowered far below what a workspace sends. What it had saved up under the old
// limit is not let in any more.
func TestLimitIsLowered(t *testing.T) {
	p := full(Limit{Burst: 1000, Rate: 1000}, 1000)
	p.SetLimit(Limit{Burst: 10, Rate: 10}, start)
	let := 0
	for range 1000 {
		if ok, _ := take(p, 1, false, start); ok {
			let++
		}
	}
	require.Equal(t, 10, let)
}

// An entry has lent its share and is cut off from the keeper. The keeper stops counting on
// it when the lease ends, and the entry takes it back then, with what it has brought since.
func TestShareComesBackWhenTheLeaseEnds(t *testing.T) {
	l := Limit{Burst: 100, Rate: 100}
	k := NewPoolSet("a")
	k.SetShare(0.5, start, start)
	key := Key{Workspace: "w"}
	k.Pool(key, l, start)
	part, saved, ok := k.Lend(key, "b", "b", time.Second, start)
	require.True(t, ok)
	require.Equal(t, 0.5, part)
	require.Zero(t, saved)
	require.Equal(t, "b", k.Borrower(key, start))
	ok, _ = take(k.Pool(key, l, start.Add(900*time.Millisecond)), 1, false, start.Add(900*time.Millisecond))
	require.False(t, ok, "lent")

	at := start.Add(1200 * time.Millisecond)
	require.Empty(t, k.Borrower(key, at))
	p := k.Pool(key, l, at)
	ok, _ = take(p, 10, false, at)
	require.True(t, ok)
	ok, _ = take(p, 1, false, at)
	require.False(t, ok, "0.2 s of half the rate")
}

// Entries differ about who keeps a pool. A share is lent to one at a time, and goes over to
// the one that should have it when the lease ends.
func TestShareIsLentToOne(t *testing.T) {
	k := NewPoolSet("a")
	k.SetShare(0.5, start, start)
	key := Key{Workspace: "w"}
	lend := func(asker string, at time.Duration) bool {
		_, _, ok := k.Lend(key, asker, "c", time.Second, start.Add(at))
		return ok
	}
	require.True(t, lend("b", 0), "the one that should keep it does not ask")
	require.True(t, lend("b", 500*time.Millisecond))
	require.False(t, lend("c", 600*time.Millisecond))
	require.False(t, lend("b", 700*time.Millisecond), "c asks")
	require.True(t, lend("c", 1500*time.Millisecond))
	require.False(t, lend("b", 1600*time.Millisecond))
}

// A limit is taken away and comes again at once, while an entry's share of it is lent.
func TestLentShareOutlastsItsLimit(t *testing.T) {
	k := NewPoolSet("a")
	k.SetShare(0.5, start, start)
	key := Key{Workspace: "w"}
	_, _, ok := k.Lend(key, "b", "b", time.Second, start)
	require.True(t, ok)
	k.Retain(func(string) bool { return false }, start.Add(100*time.Millisecond))
	require.Equal(t, "b", k.Borrower(key, start.Add(200*time.Millisecond)))
	k.Retain(func(string) bool { return false }, start.Add(2*time.Second))
	require.Empty(t, k.pools)
}
