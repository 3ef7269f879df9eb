package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The model's time passes in steps of 100 ms. A process is in touch once it has run and had all its
// connections for contactSteps.
const (
	modelStep    = 100 * time.Millisecond
	contactSteps = 30
	watchSteps   = 20 // longest time between two exchanges of an entry and a replica
	modelRequest = 7  // fingerprint of the request that crashes servers
)

// model is a system of entries and control replicas to which one request comes that crashes each
// server which runs it.
type model struct {
	t        *rapid.T
	step     int
	entries  []*modelEntry
	replicas []*modelReplica
	trials   *Trials
	servers  int

	listedAt int // step at which a replica first had three servers or a trial; -1: not yet
	sends    int // by entries in touch, later than contactSteps after listedAt
}

type modelEntry struct {
	view        *View
	cut         bool
	pausedUntil int
	touchedAt   int         // step of the last disturbance
	pending     []modelRun  // runs whose server has not ended yet
	exchanged   map[int]int // step of the last exchange, by replica
	sent        map[int]uint64
	life        map[int]int // incarnation of the replica that sent and version are of
	version     map[int]uint64
}

type modelRun struct {
	server Server
	endsAt int
}

type modelReplica struct {
	registry  *Registry
	life      int
	startedAt int
}

func (m *model) now() time.Time { return epoch.Add(time.Duration(m.step) * modelStep) }

func (m *model) newEntry() *modelEntry {
	return &modelEntry{
		view: NewView(), touchedAt: m.step, exchanged: map[int]int{}, sent: map[int]uint64{}, life: map[int]int{}, version: map[int]uint64{},
	}
}

// exchange is one call of an entry to a replica.
func (m *model) exchange(e *modelEntry, i int) {
	r := m.replicas[i]
	if e.life[i] != r.life {
		e.life[i], e.sent[i], e.version[i] = r.life, 0, 0
		e.view.SetList(fmt.Sprint(i), nil, m.now())
	}
	records, sent := e.view.Set.Since(e.sent[i], 100, m.now())
	e.sent[i] = sent
	if r.registry.Set.Merge(records, m.now()) {
		r.registry.Update()
	}
	if list, version := r.registry.List(); version != e.version[i] {
		e.view.SetList(fmt.Sprint(i), list, m.now())
		e.version[i] = version
	}
	e.exchanged[i] = m.step
	if m.listedAt < 0 && (r.registry.Set.requests[modelRequest] != nil && r.registry.Set.requests[modelRequest].count() >= 3) {
		m.listedAt = m.step
	}
}

// arrive lets the request come to an entry.
func (m *model) arrive(e *modelEntry) {
	if e.pausedUntil > m.step {
		return
	}
	if e.view.Suspect(modelRequest) {
		if e.cut || !m.trials.Take(modelRequest, m.now()).Granted {
			return
		}
		if m.listedAt < 0 {
			m.listedAt = m.step
		}
		for _, r := range m.replicas {
			r.registry.SetTrials([]uint64{modelRequest})
		}
	}
	if m.listedAt >= 0 && m.step-m.listedAt > contactSteps && m.step-e.touchedAt > contactSteps {
		m.sends++
	}
	m.servers++
	e.pending = append(e.pending, modelRun{server("s", uint64(m.servers)), m.step + rapid.IntRange(0, 6).Draw(m.t, "run")})
}

// advance plays one step.
func (m *model) advance() {
	m.step++
	for _, e := range m.entries {
		if e.pausedUntil > m.step {
			continue
		}
		m.recordBreaks(e)
		for i := range m.replicas {
			due := m.step-e.exchanged[i] >= watchSteps
			if !e.cut && (due || rapid.IntRange(0, 3).Draw(m.t, "exchange") == 0) {
				m.exchange(e, i)
			}
		}
	}
}

// recordBreaks records the ends of servers under an entry's runs.
func (m *model) recordBreaks(e *modelEntry) {
	var rest []modelRun
	for _, run := range e.pending {
		if run.endsAt > m.step {
			rest = append(rest, run)
			continue
		}
		e.view.Set.RecordBreak(modelRequest, run.server, m.now())
	}
	e.pending = rest
}

// disturb makes one disturbance.
func (m *model) disturb() {
	i := rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "entry")
	e := m.entries[i]
	switch rapid.SampledFrom([]string{"restart", "cut", "heal", "pause", "join", "replica"}).Draw(m.t, "disturbance") {
	case "restart":
		m.entries[i] = m.newEntry()
	case "cut":
		e.cut, e.touchedAt = true, m.step
	case "heal":
		e.touchedAt = m.step // in touch contactSteps after
		e.cut = false
	case "pause":
		e.pausedUntil = m.step + rapid.IntRange(1, 60).Draw(m.t, "pause")
		e.touchedAt = e.pausedUntil
	case "join":
		if len(m.entries) < 12 {
			m.entries = append(m.entries, m.newEntry())
		}
	case "replica":
		m.restartReplica()
	}
	if e.cut {
		e.touchedAt = m.step + 1<<30
	}
}

// restartReplica restarts a replica unless another one has just started: what a replica knows of a
// request without trials is kept by the others.
func (m *model) restartReplica() {
	for _, r := range m.replicas {
		if m.step-r.startedAt <= contactSteps {
			return
		}
	}
	r := m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, "replica")]
	r.registry, r.life, r.startedAt = NewRegistry(), r.life+1, m.step
	if m.trials.Requests() > 0 {
		r.registry.SetTrials([]uint64{modelRequest})
	}
}

// Guards against a request that crashes servers and reaches more of them than allowed, because
// entries start, are cut off, pause or join in an unfortunate order: each with a trial of its own.
func TestSendsOfSuspectStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, trials: NewTrials(nil), listedAt: -1}
		for range rapid.IntRange(1, 8).Draw(t, "entries") {
			m.entries = append(m.entries, m.newEntry())
		}
		for range rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas") {
			m.replicas = append(m.replicas, &modelReplica{registry: NewRegistry(), startedAt: -contactSteps})
		}
		disturbed := rapid.IntRange(0, 15).Draw(t, "disturbed") // in a hundred steps
		arrivals := rapid.IntRange(5, 100).Draw(t, "arrivals")  // in a hundred steps
		for range rapid.IntRange(200, 800).Draw(t, "steps") {
			m.advance()
			if rapid.IntRange(0, 99).Draw(t, "disturbs") < disturbed {
				m.disturb()
			}
			if rapid.IntRange(0, 99).Draw(t, "arrives") < arrivals {
				m.arrive(m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "at")])
			}
		}
		require.LessOrEqual(t, m.sends, MaxTrials)
	})
}
