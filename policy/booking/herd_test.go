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

// herd is many entries that choose among the same servers in virtual time. A server
// reads one prompt after the other.
type herd struct {
	entries, servers int
	asking           bool          // entries ask the owners' books
	reportEvery      time.Duration // of what all others have running
	firstComes       time.Duration // after the start; the other servers are there at once

	rng     *rand.Rand
	now     time.Time
	routers []*route.Router
	book    *Book
	free    []time.Time    // when each server has read all that it was given
	pending []map[int]Load // by server: each entry's
	events  events
	told    uint64
	late    int
	all     int

	firstLate, firstAll int // of the server that came last
}

// The load of the pattern: short prompts among some long ones, at six tenths of what
// the servers can read.
const (
	herdRate      = 50_000.0 // prompt tokens a second
	herdUse       = 0.6
	herdObjective = 500 * time.Millisecond
	herdSeconds   = 12
	shortPrompt   = 1_500
	longPrompt    = 20_000
	longPart      = 0.1
)

// happening is something that happens at a time.
type happening struct {
	at time.Time
	do func()
}

type events []happening

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(happening)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

// play returns the part of the short requests that were late.
func (h *herd) play(t *testing.T) float64 {
	h.rng = rand.New(rand.NewPCG(1, 2))
	h.now = start
	h.book = NewBook()
	h.free = make([]time.Time, h.servers)
	h.pending = make([]map[int]Load, h.servers)
	for i := range h.pending {
		h.pending[i] = make(map[int]Load)
	}
	for range h.entries {
		cfg := route.DefaultConfig()
		cfg.Entries, cfg.PrefillRate, cfg.CountSenders, cfg.LoadFactor = h.entries, herdRate, true, 5
		cfg.SlowStart, cfg.BusyCost = 0, 10*time.Millisecond
		r, err := route.New(cfg)
		require.NoError(t, err)
		h.routers = append(h.routers, r)
	}
	h.report()
	h.arrive()
	for h.now.Sub(start) < herdSeconds*time.Second {
		next := heap.Pop(&h.events).(happening)
		h.now = next.at
		next.do()
	}
	return float64(h.late) / float64(h.all)
}

func (h *herd) after(d time.Duration, do func()) {
	heap.Push(&h.events, happening{h.now.Add(d), do})
}

// report tells all entries what the others have running, as it is now.
func (h *herd) report() {
	h.told++
	for e, r := range h.routers {
		for i := range h.servers {
			if i == 0 && h.now.Sub(start) < h.firstComes {
				continue
			}
			a := instance.Announcement{ID: serverName(i), Incarnation: 1, Sequence: h.told, Slots: 64, State: instance.StateServing}
			for other, l := range h.pending[i] {
				a.Load.Running += l.Running
				if other != e {
					a.Load.Prefill += l.Prefill
				}
			}
			r.Announce(&a, h.now, h.now)
		}
	}
	h.after(h.reportEvery, h.report)
}

// arrive has one request come to one of the entries, and the next one later.
func (h *herd) arrive() {
	mean := shortPrompt*(1-longPart) + longPrompt*longPart
	perSecond := herdUse * herdRate * float64(h.servers) / mean
	h.after(time.Duration(-math.Log(1-h.rng.Float64())/perSecond*float64(time.Second)), h.arrive)
	tokens := shortPrompt
	if h.rng.Float64() < longPart {
		tokens = longPrompt
	}
	h.send(h.rng.IntN(h.entries), tokens)
}

func (h *herd) send(e, tokens int) {
	r := h.routers[e]
	req := &route.Request{Now: h.now, Seed: h.rng.Uint64(), PromptTokens: tokens}
	if h.asking {
		for _, id := range r.Candidates(req, nil) {
			l := h.book.Others(entryName(e), id, herdRate, h.now)
			r.UpdateLoad(id, l.Running, l.Prefill, h.now)
		}
	}
	v := r.Choose(req)
	attempt := r.Started(&v, h.now)
	var server int
	_, _ = fmt.Sscanf(v.Server, "s%d", &server) // the name is our own
	h.note(e, server, 1, tokens)
	h.free[server] = later(h.free[server], h.now).Add(time.Duration(float64(tokens) / herdRate * float64(time.Second)))
	wait := h.free[server].Sub(h.now)
	if tokens == shortPrompt {
		h.count(server, wait > herdObjective)
	}
	h.after(wait, func() {
		r.Finished(&attempt, h.now)
		h.note(e, server, -1, -tokens)
	})
}

func (h *herd) count(server int, late bool) {
	h.all++
	if late {
		h.late++
	}
	if server > 0 {
		return
	}
	h.firstAll++
	if late {
		h.firstLate++
	}
}

// note counts what an entry has at a server, and tells its owner.
func (h *herd) note(e, server, running, tokens int) {
	l := h.pending[server][e]
	l.Running += running
	l.Prefill += tokens
	h.pending[server][e] = l
	h.told++
	h.book.Note(Teller{entryName(e), 1}, h.told, serverName(server), l, h.now)
}

func entryName(e int) string { return fmt.Sprintf("entry-%d", e) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Up to some hundred entries choose among as many servers, which have six tenths of the
// work that they can do, and hear of each other every half a second. Callers wait behind
// long prompts that their entry has not heard of, while other servers stand idle: of
// seventy entries' short requests one in twenty is late. Asked of the one entry that keeps a server's
// book, hardly any is.
func TestHerd(t *testing.T) {
	for _, entries := range []int{8, 70, 190, 370} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			reports := (&herd{entries: entries, servers: 60, reportEvery: 500 * time.Millisecond}).play(t)
			asked := (&herd{entries: entries, servers: 60, reportEvery: 500 * time.Millisecond, asking: true}).play(t)
			t.Logf("short requests late: %.3f by reports, %.3f asked", reports, asked)
			require.Less(t, asked, 0.02)
			require.Greater(t, reports, asked)
		})
	}
}

// A server comes, or comes back, and looks idle to seventy entries at once. Each sends it
// what it has until it hears of the others, and the server is buried: most that is sent
// there is late. Asked of its book, it gets its share from the first moment, and needs no
// time in which it is kept from its work.
func TestNewServerIsNotBuried(t *testing.T) {
	play := func(asking bool) (late float64, sent int) {
		h := &herd{entries: 70, servers: 20, reportEvery: 500 * time.Millisecond, asking: asking, firstComes: 9 * time.Second}
		h.play(t)
		return float64(h.firstLate) / float64(h.firstAll), h.firstAll
	}
	byReports, _ := play(false)
	asked, sent := play(true)
	t.Logf("short requests late at the new server: %.3f by reports, %.3f asked (of %d)", byReports, asked, sent)
	require.Less(t, asked, 0.02)
	require.Greater(t, byReports, 2*asked)
	require.Greater(t, sent, 20, "it is used")
}
