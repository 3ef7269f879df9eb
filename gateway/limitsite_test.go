package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// limitSite is the entries of a site that hold one workspace to its limit, in virtual
// time, with a network that can be cut and one control replica that tells of all.
type limitSite struct {
	t       *testing.T
	w       routes.Workspace
	bounds  site.Bounds
	rng     *rand.Rand
	began   time.Time
	entries []*limitEntry
	only    []*limitEntry   // those that callers use
	roster  *limit.Registry // of the control replica

	telling sync.Mutex // the control replica hears one at a time

	mu  sync.Mutex
	let []letIn
}

// letIn is a request that was let in.
type letIn struct {
	at   time.Duration
	cost float64
}

// limitEntry is one entry.
type limitEntry struct {
	site  *limitSite
	index int
	name  string
	addr  netip.AddrPort
	cut   atomic.Bool // from all others and from the control replica
	heard time.Time   // by the control replica; telling is held
	life  atomic.Pointer[limitLife]
}

// limitLife is one life of an entry.
type limitLife struct {
	limits *limits
	books  *bookkeeper
	peers  *peers
}

const (
	siteDelay = time.Millisecond       // of a message, one way
	siteTell  = 400 * time.Millisecond // between an entry's calls to the control replica
)

func newLimitSite(t *testing.T, entries int, perSecond, slack float64, seed uint64) *limitSite {
	s := &limitSite{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), roster: limit.NewRegistry(time.Now(), true),
		w:      routes.Workspace{Name: "w", PerSecond: perSecond, Burst: perSecond},
		bounds: site.Bounds{QuotaWindow: 8 * time.Second, QuotaOverrun: 0.1, QuotaSlack: slack},
	}
	for i := range entries {
		e := &limitEntry{site: s, index: i, name: fmt.Sprintf("entry-%d", i), addr: netip.MustParseAddrPort("10.0.0.1:" + strconv.Itoa(i+1))}
		s.entries = append(s.entries, e)
		e.start()
	}
	s.only = s.entries
	return s
}

// start begins a new life of the entry.
func (e *limitEntry) start() {
	s := e.site
	dir := directory.NewStore(directory.Config{ForgetAfter: time.Minute})
	for _, other := range s.entries {
		dir.MergeEntry(other.record(), time.Now())
	}
	p := &peers{directory: dir}
	books := newBookkeeper(booking.Reporter{Name: e.name, Incarnation: uint64(time.Now().UnixNano())}, time.Now)
	books.entries = func() []directory.Entry { return p.entries(time.Now()) }
	books.known = func() []directory.Entry { return p.directory.Entries(time.Now()) }
	books.port = func(host string) string { return host }
	books.rate = func(string) float64 { return 1 }
	books.wire = siteWire{e}
	l := newLimits(books, newShares(time.Now()), s.bounds, slog.New(slog.DiscardHandler), time.Now)
	l.setWorkspaces([]routes.Workspace{s.w})
	e.life.Store(&limitLife{limits: l, books: books, peers: p})
}

func (e *limitEntry) record() directory.Entry {
	return directory.Entry{Name: e.name, Incarnation: 1, State: "serving", Address: net.JoinHostPort(e.addr.String(), "80")}
}

// siteWire is an entry's way to the others.
type siteWire struct{ from *limitEntry }

func (w siteWire) send(to netip.AddrPort, m *message) {
	sent := *m
	for _, e := range w.from.site.entries {
		if e.addr == to && !e.cut.Load() && !w.from.cut.Load() {
			books := e.life.Load().books
			time.AfterFunc(siteDelay, func() { books.take(sent) })
		}
	}
}

// tell has the control replica hear the entry, and the entry all others.
func (e *limitEntry) tell() {
	if e.cut.Load() {
		return
	}
	now, life := time.Now(), e.life.Load()
	e.heard = now
	var names []string
	for _, o := range e.site.entries {
		life.peers.directory.MergeEntry(o.record(), now)
		if now.Sub(o.heard) <= 2500*time.Millisecond {
			names = append(names, o.name)
		}
	}
	if life.peers.take(digestOf(names), names, now) {
		life.books.relist()
	}
	e.site.roster.Observe(e.name, life.limits.shares.inUse(), now)
	life.limits.shares.take("c1", e.site.roster.Vote(e.name, now), 1, now)
}

// digestOf stands for a list of names.
func digestOf(names []string) uint64 { return xxhash.Sum64String(strings.Join(names, ",")) }

// shareOut is what an entry does every askEvery.
func (e *limitEntry) shareOut() {
	l := e.life.Load().limits
	l.takePart()
	l.askSharesBack()
	l.askShares()
}

// play sends tokens a second, in requests of some thousand, for so long.
func (s *limitSite) play(perSecond float64, long time.Duration) (asked, let float64) {
	const mean = 4000.0
	for until := time.Now().Add(long); time.Now().Before(until); {
		time.Sleep(time.Duration(s.rng.ExpFloat64() * mean / perSecond * float64(time.Second)))
		cost := mean * (0.2 + 1.6*s.rng.Float64())
		e := s.only[s.rng.IntN(len(s.only))]
		asked += cost
		limits, at := e.life.Load().limits, time.Since(s.began)
		go func() {
			if limits.take(context.Background(), "w", cost, false).ok {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.let = append(s.let, letIn{at, cost})
				let += cost
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return asked, let
}

// run has the control replica told until the test ends.
func (s *limitSite) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, e := range s.entries {
		work.Go(func() {
			for step := 0; ctx.Err() == nil; step++ {
				if step%int(siteTell/askEvery) == 0 {
					s.telling.Lock()
					e.tell()
					s.telling.Unlock()
				}
				e.shareOut()
				time.Sleep(askEvery)
			}
		})
	}
	time.Sleep(5 * time.Second)
	return func() { cancel(); work.Wait(); time.Sleep(time.Second) }
}

// highest returns the most that was let in within a window of the site, as a part of
// what is allowed.
func (s *limitSite) highest() float64 {
	slices.SortFunc(s.let, func(a, b letIn) int { return int(a.at - b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, l := range s.let {
		sum += l.cost
		for s.let[first].at <= l.at-s.bounds.QuotaWindow {
			sum -= s.let[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most / ((s.w.PerSecond*s.bounds.QuotaWindow.Seconds()+s.w.Burst)*(1+s.bounds.QuotaOverrun) + s.bounds.QuotaSlack)
}

// Half of the entries are cut off from all others while a workspace sends many times its
// limit. Those that are cut off must not let in their part beside an owner that gives out
// the whole limit.
func TestLimitHoldsWhileEntriesAreCutOff(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			const limit = 150_000.0
			s := newLimitSite(t, 6, limit, 110_000, seed)
			defer s.run()()
			s.play(0.5*limit, 8*time.Second)
			s.play(6*limit, 3*time.Second)
			for _, e := range s.entries[:3] {
				e.cut.Store(true)
			}
			s.play(6*limit, 10*time.Second)
			for _, e := range s.entries {
				e.cut.Store(false)
			}
			s.play(6*limit, 7*time.Second)
			require.LessOrEqual(t, s.highest(), 1.0, "seed %d", seed)
		})
	}
}

// requireWithin checks each window of the site.
func (s *limitSite) requireWithin(t *testing.T) {
	t.Helper()
	highest := s.highest()
	t.Logf("highest window: %.3f of what is allowed", highest)
	require.LessOrEqual(t, highest, 1.0)
}

// A workspace sends four times its limit at all entries, after it was quiet. It gets what it
// is owed, and no more than the limit and what the site's users allow beyond it.
func TestLimitUnderASurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.play(perSecond/2, 10*time.Second)
		_, let := s.play(4*perSecond, 20*time.Second)
		s.requireWithin(t)
		require.Greater(t, let, 0.9*20*perSecond, "what the workspace is owed is let in")
	})
}

// All callers of a workspace use one of six entries. They are within their limit and are not
// refused, though that entry's share is a sixth.
func TestLimitWithUnevenCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.play(perSecond/10, 5*time.Second)
		s.only = s.entries[:1]
		asked, let := s.play(0.8*perSecond, 10*time.Second)
		require.InDelta(t, asked, let, 0.01*asked)
	})
}

// A workspace far below its limit sends one long prompt, and then a short question to the
// same entry. The question is not refused.
func TestLimitAfterOneLargeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(t, 8, 100_000, 110_000, 1)
		defer s.run()()
		for _, e := range s.entries {
			require.True(t, e.life.Load().limits.take(t.Context(), "w", 50_000, false).ok)
			require.True(t, e.life.Load().limits.take(t.Context(), "w", 200, false).ok)
			time.Sleep(time.Second)
		}
	})
}

// The entries hear nothing of each other, and no control replica. Together they let in what
// one of them might, and a fifth of the limit at least.
func TestLimitWhileAllAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.play(perSecond/2, 5*time.Second)
		for _, e := range s.entries {
			e.cut.Store(true)
		}
		_, let := s.play(4*perSecond, 20*time.Second)
		s.requireWithin(t)
		require.Greater(t, let, 0.9*20*perSecond, "their shares make up the whole")
	})
}

// A workspace is at its limit while entries start again in turn, each a second after the one
// before. One that has just started knows of no use, and must not begin with a full bucket.
func TestLimitWhileEntriesStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.play(perSecond/2, 5*time.Second)
		let := 0.0
		for i := range 16 {
			s.entries[i%6].start()
			_, n := s.play(5*perSecond, time.Second)
			let += n
		}
		s.requireWithin(t)
		require.Greater(t, let, 0.7*16*perSecond)
	})
}

// A workspace sends a few large requests a second, at six tenths of its limit, which reach
// hundreds of entries one by one. One entry's share is a fraction of such a request; hardly
// any is refused all the same.
func TestLimitOfManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, perSecond = 190, 30_000.0
		s := newLimitSite(t, entries, perSecond, 0.7*perSecond, 3)
		defer s.run()()
		s.play(0.6*perSecond, 10*time.Second) // the pools fill
		asked, let := s.play(0.6*perSecond, 60*time.Second)
		t.Logf("%.5f of what is asked for is refused", 1-let/asked)
		require.LessOrEqual(t, asked-let, 4*asked/360)
	})
}

// The entry that keeps a pool of a limit is lost. The rest of the limit is served meanwhile,
// and all of it once another entry keeps the pool.
func TestLimitWhileAKeeperIsLost(t *testing.T) {
	for _, entries := range []int{8, 190} {
		synctest.Test(t, func(t *testing.T) {
			const perSecond = 150_000.0
			s := newLimitSite(t, entries, perSecond, 110_000, 2)
			defer s.run()()
			s.play(0.6*perSecond, 10*time.Second)
			keeper := s.entries[0].life.Load().books.ownerOf(limit.Key{Workspace: "w"})
			s.only = slices.DeleteFunc(slices.Clone(s.entries), func(e *limitEntry) bool { return e.name == keeper })
			for _, e := range s.entries {
				e.cut.Store(e.name == keeper)
			}
			asked, let := s.play(0.6*perSecond, 8*time.Second)
			t.Logf("%d entries: %.3f of what is asked for is refused in 8 s", entries, 1-let/asked)
			require.Greater(t, let, 0.5*asked)
			asked, let = s.play(0.6*perSecond, 10*time.Second)
			require.Greater(t, let, 0.98*asked)
			s.requireWithin(t)
		})
	}
}
