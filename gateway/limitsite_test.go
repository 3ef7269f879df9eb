package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
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
	site    *limitSite
	index   int
	name    string
	addr    netip.AddrPort
	cut     bool // from all others and from the control replica
	heard   time.Time
	limiter *limiter
	limits  *limits
	books   *bookkeeper
	peers   *peers
}

const (
	siteDelay = time.Millisecond       // of a message, one way
	siteTell  = 400 * time.Millisecond // between an entry's calls to the control replica
)

func newLimitSite(t *testing.T, entries int, perSecond, slack float64, seed uint64) *limitSite {
	s := &limitSite{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), began: time.Now(),
		w:      routes.Workspace{Name: "w", PerSecond: perSecond, Burst: perSecond},
		bounds: site.Bounds{QuotaWindow: 8 * time.Second, QuotaOverrun: 0.1, QuotaSlack: slack},
	}
	for i := range entries {
		e := &limitEntry{site: s, index: i, name: fmt.Sprintf("entry-%d", i), addr: netip.MustParseAddrPort("10.0.0.1:" + strconv.Itoa(i+1))}
		s.entries = append(s.entries, e)
		e.start()
	}
	return s
}

// start begins a new life of the entry.
func (e *limitEntry) start() {
	s := e.site
	dir := directory.NewStore(directory.Config{ForgetAfter: time.Minute})
	for _, other := range s.entries {
		dir.MergeEntry(other.record(), time.Now())
	}
	e.peers = &peers{directory: dir}
	e.limiter = newLimiter(s.bounds)
	e.limiter.setEntries(len(s.entries))
	e.limiter.setWorkspaces([]routes.Workspace{s.w}, time.Now())
	e.books = newBookkeeper(booking.Teller{Name: e.name, Life: uint64(time.Now().UnixNano())}, time.Now)
	peers := e.peers
	e.books.entries = func() []directory.Entry { return peers.entries(time.Now()) }
	e.books.port = func(host string) string { return host }
	e.books.rate = func(string) float64 { return 1 }
	e.books.bucket = e.limiter.owned
	e.books.wire = siteWire{e}
	e.limits = newLimits(e.books, e.limiter, time.Now)
}

func (e *limitEntry) record() directory.Entry {
	return directory.Entry{Name: e.name, Incarnation: 1, State: "serving", Address: net.JoinHostPort(e.addr.String(), "80")}
}

// siteWire is an entry's way to the others.
type siteWire struct{ from *limitEntry }

func (w siteWire) send(to netip.AddrPort, m *message) {
	sent := *m
	for _, e := range w.from.site.entries {
		if e.addr == to && !e.cut && !w.from.cut {
			books := e.books
			time.AfterFunc(siteDelay, func() { books.take(sent) })
		}
	}
}

// tell has the control replica hear the entry, and the entry all others.
func (e *limitEntry) tell() {
	if e.cut {
		return
	}
	now := time.Now()
	e.heard = now
	var names []string
	others := 0.0
	for _, o := range e.site.entries {
		if now.Sub(o.heard) > 2500*time.Millisecond {
			continue
		}
		names = append(names, o.name)
		for _, u := range o.limiter.used() {
			if o != e {
				others += u.Amount
			}
		}
	}
	e.limiter.setEntries(len(names))
	for _, o := range e.site.entries {
		e.peers.directory.MergeEntry(o.record(), now)
	}
	e.peers.take(uint64(len(names)), names, now)
	e.limiter.noteOthers("c1", 1, []api.Use{{Workspace: "w", Amount: others}}, now)
}

// play sends tokens a second, in requests of some thousand, for so long.
func (s *limitSite) play(perSecond float64, long time.Duration) (asked, let float64) {
	const mean = 4000.0
	for until := time.Now().Add(long); time.Now().Before(until); {
		time.Sleep(time.Duration(s.rng.ExpFloat64() * mean / perSecond * float64(time.Second)))
		cost := mean * (0.2 + 1.6*s.rng.Float64())
		e := s.entries[s.rng.IntN(len(s.entries))]
		asked += cost
		limits, at := e.limits, time.Since(s.began)
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
			for ctx.Err() == nil {
				e.tell()
				time.Sleep(siteTell)
			}
		})
	}
	time.Sleep(3 * time.Second)
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
				e.cut = true
			}
			s.play(6*limit, 10*time.Second)
			for _, e := range s.entries {
				e.cut = false
			}
			s.play(6*limit, 7*time.Second)
			require.LessOrEqual(t, s.highest(), 1.0, "seed %d", seed)
		})
	}
}
