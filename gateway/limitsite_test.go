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
	"savoryreel.example/savoryreel/policy/quorum"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// limitSite simulates in virtual time the entries of a site that enforce the limit of one
// workspace, with a network that can be cut and one control replica.
type limitSite struct {
	t         *testing.T
	workspace routes.Workspace
	bounds    site.Bounds
	rng       *rand.Rand
	start     time.Time
	entries   []*limitEntry
	targets   []*limitEntry // entries that callers use

	controlMu sync.Mutex // serializes heartbeats; protects what follows
	calls     *limit.Calls
	table     *limit.Table

	delay time.Duration // of a message, one way

	mu       sync.Mutex
	admitted []admittedRequest
}

// admittedRequest is an admitted request.
type admittedRequest struct {
	at   time.Duration // since the start
	cost float64
}

// limitEntry is one entry.
type limitEntry struct {
	site          *limitSite
	index         int
	name          string
	addr          netip.AddrPort
	isolated      atomic.Bool // cut off from the other entries and the control replica
	lastHeartbeat time.Time   // at the control replica; controlMu is held
	process       atomic.Pointer[entryProcess]

	returnRequests atomic.Int64 // sent by all incarnations
}

// entryProcess is one run of an entry.
type entryProcess struct {
	limits   *limits
	exchange *peerExchange
	peers    *peers
}

const (
	networkDelay      = time.Millisecond       // one way
	heartbeatInterval = 400 * time.Millisecond // between an entry's calls to the control replica
)

func newLimitSite(t *testing.T, entries int, perSecond, slack float64, seed uint64) *limitSite {
	s := &limitSite{
		t: t, delay: networkDelay, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), calls: limit.NewCalls(), table: limit.NewTable(0, nil),
		workspace: routes.Workspace{Name: "w", PerSecond: perSecond, Burst: perSecond},
		bounds:    site.Bounds{QuotaWindow: 8 * time.Second, QuotaOverrun: 0.1, QuotaSlack: slack},
	}
	for i := range entries {
		e := &limitEntry{site: s, index: i, name: fmt.Sprintf("entry-%d", i), addr: netip.MustParseAddrPort("10.0.0.1:" + strconv.Itoa(i+1))}
		s.entries = append(s.entries, e)
		e.start()
	}
	s.targets = s.entries
	return s
}

// start starts or restarts the entry.
func (e *limitEntry) start() {
	s := e.site
	dir := directory.NewStore(directory.Config{ForgetAfter: time.Minute})
	for _, other := range s.entries {
		dir.MergeEntry(other.record(), time.Now())
	}
	p := &peers{directory: dir}
	exchange := newPeerExchange(booking.Reporter{Name: e.name, Incarnation: uint64(time.Now().UnixNano())}, time.Now)
	exchange.liveEntries = func() []directory.Entry { return p.entries(time.Now()) }
	exchange.knownEntries = func() []directory.Entry { return p.directory.Entries(time.Now()) }
	exchange.knownEntry = func(name string) (directory.Entry, bool) { return p.directory.Entry(name, time.Now()) }
	exchange.datagramAddress = func(host string) string { return host }
	exchange.prefillRate = func(string) float64 { return 1 }
	exchange.transport = siteTransport{e}
	l := newLimits(exchange, newShares(exchange.self.Incarnation, time.Now()), s.bounds, slog.New(slog.DiscardHandler), time.Now)
	l.setWorkspaces([]routes.Workspace{s.workspace})
	e.process.Store(&entryProcess{limits: l, exchange: exchange, peers: p})
}

func (e *limitEntry) record() directory.Entry {
	return directory.Entry{Name: e.name, Incarnation: 1, State: "serving", Address: net.JoinHostPort(e.addr.String(), "80")}
}

// siteTransport delivers the messages of an entry.
type siteTransport struct{ from *limitEntry }

func (w siteTransport) send(to netip.AddrPort, m *message) {
	sent := *m
	if sent.Kind == kindReturnRequest {
		w.from.returnRequests.Add(1)
	}
	for _, e := range w.from.site.entries {
		if e.addr == to && !e.isolated.Load() && !w.from.isolated.Load() {
			exchange := e.process.Load().exchange
			time.AfterFunc(w.from.site.delay, func() { exchange.handle(sent) })
		}
	}
}

// heartbeat calls the control replica and applies its reply.
func (e *limitEntry) heartbeat() {
	if e.isolated.Load() {
		return
	}
	now, process := time.Now(), e.process.Load()
	e.lastHeartbeat = now
	var names []string
	for _, o := range e.site.entries {
		process.peers.directory.MergeEntry(o.record(), now)
		if now.Sub(o.lastHeartbeat) <= 2500*time.Millisecond {
			names = append(names, o.name)
		}
	}
	if process.peers.update(digestOf(names), names, now) {
		process.exchange.invalidateList()
	}
	e.site.calls.Record(e.name, process.exchange.self.Incarnation, process.limits.shares.report(now), now)
	process.limits.shares.record("c1", e.site.reply(e.name, now), now)
}

// reply divides the limits anew and returns what the control replica replies to an entry.
func (s *limitSite) reply(name string, now time.Time) limit.Reply {
	s.calls.SetVoter(true, now)
	s.calls.Expire(s.table, now)
	revoked := s.calls.Revoke(s.calls.Gone(s.table, now), now)
	if change := limit.Plan(s.table, s.calls, revoked, now); !change.IsEmpty() {
		s.table, _ = s.table.Apply(&change, s.table.Index+1)
	}
	return limit.Reply{
		Grant: s.calls.Confirmed(s.table.Get(name)), Entries: s.calls.Entries(s.table), Applied: true,
		View: quorum.View{Self: 1, Voters: []uint64{1}},
	}
}

// digestOf returns a digest of a list of names.
func digestOf(names []string) uint64 { return xxhash.Sum64String(strings.Join(names, ",")) }

// renewShares does what an entry does every renewInterval.
func (e *limitEntry) renewShares() {
	l := e.process.Load().limits
	l.updateShare()
	l.requestReturns()
	l.renewLeases()
}

// sendLoad sends perSecond tokens a second, in requests of 800 to 7,200, for the duration.
// It returns the tokens offered and those admitted.
func (s *limitSite) sendLoad(perSecond float64, duration time.Duration) (offered, admitted float64) {
	const mean = 4000.0
	for until := time.Now().Add(duration); time.Now().Before(until); {
		time.Sleep(time.Duration(s.rng.ExpFloat64() * mean / perSecond * float64(time.Second)))
		cost := mean * (0.2 + 1.6*s.rng.Float64())
		e := s.targets[s.rng.IntN(len(s.targets))]
		offered += cost
		limits, at := e.process.Load().limits, time.Since(s.start)
		go func() {
			if limits.admit(context.Background(), "w", cost, false).ok {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.admitted = append(s.admitted, admittedRequest{at, cost})
				admitted += cost
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return offered, admitted
}

// run runs the entries until stop is called.
func (s *limitSite) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, e := range s.entries {
		work.Go(func() {
			for step := 0; ctx.Err() == nil; step++ {
				if step%int(heartbeatInterval/renewInterval) == 0 {
					s.controlMu.Lock()
					e.heartbeat()
					s.controlMu.Unlock()
				}
				e.renewShares()
				time.Sleep(renewInterval)
			}
		})
	}
	time.Sleep(5 * time.Second)
	return func() { cancel(); work.Wait(); time.Sleep(time.Second) }
}

// highestUsage returns the most tokens admitted within a window of the site, as a ratio of
// the allowed ones.
func (s *limitSite) highestUsage() float64 {
	slices.SortFunc(s.admitted, func(a, b admittedRequest) int { return int(a.at - b.at) })
	highest, sum, first := 0.0, 0.0, 0
	for _, l := range s.admitted {
		sum += l.cost
		for s.admitted[first].at <= l.at-s.bounds.QuotaWindow {
			sum -= s.admitted[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest / ((s.workspace.PerSecond*s.bounds.QuotaWindow.Seconds()+s.workspace.Burst)*(1+s.bounds.QuotaOverrun) + s.bounds.QuotaSlack)
}

// Half of the entries are isolated while a workspace sends several times its limit. If they
// used their shares while an owner still does, the workspace would exceed its limit.
func TestLimitWhileHalfOfEntriesAreIsolated(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			const limit = 150_000.0
			s := newLimitSite(t, 6, limit, 110_000, seed)
			defer s.run()()
			s.sendLoad(0.5*limit, 8*time.Second)
			s.sendLoad(6*limit, 3*time.Second)
			for _, e := range s.entries[:3] {
				e.isolated.Store(true)
			}
			s.sendLoad(6*limit, 10*time.Second)
			for _, e := range s.entries {
				e.isolated.Store(false)
			}
			s.sendLoad(6*limit, 7*time.Second)
			require.LessOrEqual(t, s.highestUsage(), 1.0, "seed %d", seed)
		})
	}
}

// requireWithinLimit checks each window of the site.
func (s *limitSite) requireWithinLimit(t *testing.T) {
	t.Helper()
	usage := s.highestUsage()
	t.Logf("highest window: %.3f of the allowed tokens", usage)
	require.LessOrEqual(t, usage, 1.0)
}

// A workspace that was quiet sends four times its limit at all entries. It must get its
// limit, and no more than the limit and the tolerance.
func TestLimitDuringSurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.sendLoad(perSecond/2, 10*time.Second)
		_, admitted := s.sendLoad(4*perSecond, 20*time.Second)
		s.requireWithinLimit(t)
		require.Greater(t, admitted, 0.9*20*perSecond, "the workspace gets its limit")
	})
}

// All callers of a workspace use one of six entries, within the limit. They must not be
// refused, although the entry's own share is a sixth.
func TestLimitWithCallersOnOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.sendLoad(perSecond/10, 5*time.Second)
		s.targets = s.entries[:1]
		offered, admitted := s.sendLoad(0.8*perSecond, 10*time.Second)
		require.InDelta(t, offered, admitted, 0.01*offered)
	})
}

// A workspace far below its limit sends a long prompt and then a short one to the same
// entry. The short one must not be refused.
func TestLimitAfterOneLargeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(t, 8, 100_000, 110_000, 1)
		defer s.run()()
		for _, e := range s.entries {
			require.True(t, e.process.Load().limits.admit(t.Context(), "w", 50_000, false).ok)
			require.True(t, e.process.Load().limits.admit(t.Context(), "w", 200, false).ok)
			time.Sleep(time.Second)
		}
	})
}

// All entries are isolated from each other and the control replica. Together they must admit
// the limit from their own shares, and no more.
func TestLimitWhileAllEntriesAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.sendLoad(perSecond/2, 5*time.Second)
		for _, e := range s.entries {
			e.isolated.Store(true)
		}
		_, admitted := s.sendLoad(4*perSecond, 20*time.Second)
		s.requireWithinLimit(t)
		require.Greater(t, admitted, 0.9*20*perSecond, "the shares sum to the limit")
	})
}

// A workspace is above its limit while entries restart in turn, one each second. A restarted
// entry has no record of past use; if it started with a full bucket, the workspace would
// exceed its limit.
func TestLimitWhileEntriesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 150_000.0
		s := newLimitSite(t, 6, perSecond, 110_000, 1)
		defer s.run()()
		s.sendLoad(perSecond/2, 5*time.Second)
		admitted := 0.0
		for i := range 16 {
			s.entries[i%6].start()
			_, n := s.sendLoad(5*perSecond, time.Second)
			admitted += n
		}
		s.requireWithinLimit(t)
		require.Greater(t, admitted, 0.7*16*perSecond)
	})
}

// A workspace sends a few large requests a second at 60% of its limit to many entries. An
// entry's own share is a fraction of such a request; hardly any may be refused.
func TestLimitWithManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, perSecond = 190, 30_000.0
		s := newLimitSite(t, entries, perSecond, 0.7*perSecond, 3)
		defer s.run()()
		s.sendLoad(0.6*perSecond, 10*time.Second) // the pools fill
		offered, admitted := s.sendLoad(0.6*perSecond, 60*time.Second)
		t.Logf("%.5f of the offered tokens were refused", 1-admitted/offered)
		require.LessOrEqual(t, offered-admitted, 4*offered/360)
	})
}

// The owner of a pool is lost. Meanwhile the other pool must still admit requests, and all
// of the limit must be available once another entry owns the pool.
func TestLimitWhilePoolOwnerIsLost(t *testing.T) {
	for _, entries := range []int{8, 190} {
		synctest.Test(t, func(t *testing.T) {
			const perSecond = 150_000.0
			s := newLimitSite(t, entries, perSecond, 110_000, 2)
			defer s.run()()
			s.sendLoad(0.6*perSecond, 10*time.Second)
			owner := s.entries[0].process.Load().exchange.poolOwner(limit.Key{Workspace: "w"})
			s.targets = slices.DeleteFunc(slices.Clone(s.entries), func(e *limitEntry) bool { return e.name == owner })
			for _, e := range s.entries {
				e.isolated.Store(e.name == owner)
			}
			offered, admitted := s.sendLoad(0.6*perSecond, 8*time.Second)
			t.Logf("%d entries: %.3f of the offered tokens were refused in 8 s", entries, 1-admitted/offered)
			require.Greater(t, admitted, 0.5*offered)
			offered, admitted = s.sendLoad(0.6*perSecond, 10*time.Second)
			require.Greater(t, admitted, 0.98*offered)
			s.requireWithinLimit(t)
		})
	}
}
