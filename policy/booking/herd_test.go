package booking

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/route"
)

// simulation runs many entries that choose among the same servers, in virtual time. A
// server prefills one prompt after the other.
type simulation struct {
	entries, servers int
	queryOwners      bool          // entries query the load tables of the owners
	reportInterval   time.Duration // of what all entries have running
	firstJoinsAfter  time.Duration // when the first server joins, after the start; the others are present from the start

	rng       *rand.Rand
	now       time.Time
	routers   []*route.Router
	loadTable *LoadTable
	idleAt    []time.Time    // when each server has prefilled all its prompts
	pending   []map[int]Load // by server: load by entry
	events    eventHeap
	sequence  uint64
	lateCount int
	total     int

	firstServerLate, firstServerTotal int // of the server that joins late
}

// Short prompts among some long ones, at a fraction of the prefill rate of the servers.
const (
	prefillTokensPerSecond = 50_000.0 // of each server
	utilization            = 0.6
	objective              = 500 * time.Millisecond
	simulatedSeconds       = 12
	shortPromptTokens      = 1_500
	longPromptTokens       = 20_000
	longPromptFraction     = 0.1
)

// event is a callback at a virtual time.
type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

// run returns the fraction of the short requests that were late.
func (h *simulation) run(t *testing.T) float64 {
	h.rng = rand.New(rand.NewPCG(1, 2))
	h.now = start
	h.loadTable = NewLoadTable()
	h.idleAt = make([]time.Time, h.servers)
	h.pending = make([]map[int]Load, h.servers)
	for i := range h.pending {
		h.pending[i] = make(map[int]Load)
	}
	for range h.entries {
		cfg := route.DefaultConfig()
		cfg.Entries, cfg.PrefillRate, cfg.CountSenders, cfg.LoadFactor = h.entries, prefillTokensPerSecond, true, 5
		cfg.SlowStart, cfg.BusyCost = 0, 10*time.Millisecond
		r, err := route.New(cfg)
		require.NoError(t, err)
		h.routers = append(h.routers, r)
	}
	h.deliverReports()
	h.sendNext()
	for h.now.Sub(start) < simulatedSeconds*time.Second {
		next := heap.Pop(&h.events).(event)
		h.now = next.at
		next.do()
	}
	return float64(h.lateCount) / float64(h.total)
}

func (h *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&h.events, event{h.now.Add(d), do})
}

// deliverReports gives all entries the current load of the servers, without the prompt
// tokens of the entry itself, and schedules the next reports.
func (h *simulation) deliverReports() {
	h.sequence++
	for e, r := range h.routers {
		for i := range h.servers {
			if i == 0 && h.now.Sub(start) < h.firstJoinsAfter {
				continue
			}
			a := instance.Announcement{ID: serverName(i), Incarnation: 1, Sequence: h.sequence, Slots: 64, State: instance.StateServing}
			for other, l := range h.pending[i] {
				a.Load.Running += l.Running
				if other != e {
					a.Load.Prefill += l.Prefill
				}
			}
			r.Announce(&a, h.now, h.now)
		}
	}
	h.schedule(h.reportInterval, h.deliverReports)
}

// sendNext sends one request to a random entry and schedules the next arrival.
func (h *simulation) sendNext() {
	mean := shortPromptTokens*(1-longPromptFraction) + longPromptTokens*longPromptFraction
	perSecond := utilization * prefillTokensPerSecond * float64(h.servers) / mean
	h.schedule(time.Duration(-math.Log(1-h.rng.Float64())/perSecond*float64(time.Second)), h.sendNext)
	tokens := shortPromptTokens
	if h.rng.Float64() < longPromptFraction {
		tokens = longPromptTokens
	}
	h.send(h.rng.IntN(h.entries), tokens)
}

func (h *simulation) send(e, tokens int) {
	r := h.routers[e]
	req := &route.Request{Now: h.now, Seed: h.rng.Uint64(), PromptTokens: tokens}
	if h.queryOwners {
		for _, id := range r.Candidates(req, nil) {
			l := h.loadTable.LoadOfOthers(entryName(e), id, prefillTokensPerSecond, h.now)
			r.UpdateLoad(id, l.Running, l.Prefill, h.now)
		}
	}
	v := r.Choose(req)
	attempt := r.Started(&v, h.now)
	var server int
	_, _ = fmt.Sscanf(v.Server, "s%d", &server) // always a name from serverName
	h.recordLoad(e, server, 1, tokens)
	h.idleAt[server] = laterOf(h.idleAt[server], h.now).Add(time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second)))
	wait := h.idleAt[server].Sub(h.now)
	if tokens == shortPromptTokens {
		h.count(server, wait > objective)
	}
	h.schedule(wait, func() {
		r.Finished(&attempt, h.now)
		h.recordLoad(e, server, -1, -tokens)
	})
}

func (h *simulation) count(server int, late bool) {
	h.total++
	if late {
		h.lateCount++
	}
	if server > 0 {
		return
	}
	h.firstServerTotal++
	if late {
		h.firstServerLate++
	}
}

// recordLoad changes what an entry has running at a server, and reports it to the load
// table.
func (h *simulation) recordLoad(e, server, running, tokens int) {
	l := h.pending[server][e]
	l.Running += running
	l.Prefill += tokens
	h.pending[server][e] = l
	h.sequence++
	h.loadTable.Record(Reporter{entryName(e), 1}, h.sequence, serverName(server), l, h.now)
}

func entryName(e int) string { return fmt.Sprintf("entry-%d", e) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against herding: with periodic reports alone, entries choose servers to which
// others have just sent long prompts, and short requests are late while other servers are
// idle.
func TestLoadQueriesPreventHerding(t *testing.T) {
	for _, entries := range []int{8, 70, 190, 370} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			byReports := (&simulation{entries: entries, servers: 60, reportInterval: 500 * time.Millisecond}).run(t)
			byQuery := (&simulation{entries: entries, servers: 60, reportInterval: 500 * time.Millisecond, queryOwners: true}).run(t)
			t.Logf("short requests late: %.3f by reports, %.3f by queries", byReports, byQuery)
			require.Less(t, byQuery, 0.02)
			require.Greater(t, byReports, byQuery)
		})
	}
}

// Guards against overload of a server that joins: it looks idle to all entries at once,
// and with periodic reports alone most requests sent to it are late.
func TestNewServerIsNotOverloaded(t *testing.T) {
	simulate := func(queryOwners bool) (late float64, sent int) {
		h := &simulation{entries: 70, servers: 20, reportInterval: 500 * time.Millisecond, queryOwners: queryOwners, firstJoinsAfter: 9 * time.Second}
		h.run(t)
		return float64(h.firstServerLate) / float64(h.firstServerTotal), h.firstServerTotal
	}
	byReports, _ := simulate(false)
	byQuery, sent := simulate(true)
	t.Logf("short requests late at the new server: %.3f by reports, %.3f by queries (of %d)", byReports, byQuery, sent)
	require.Less(t, byQuery, 0.02)
	require.Greater(t, byReports, 2*byQuery)
	require.Greater(t, sent, 20, "the new server is used")
}
