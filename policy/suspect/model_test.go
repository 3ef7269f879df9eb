package suspect

import (
	"fmt"
	"slices"
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

	suspectSince int // step at which a replica first listed the request; -1: not yet

	reported map[Server]bool // servers in records that replicas have received, also if they have lost them since
	listedAt int             // step at which three were reported, or of the first trial; -1: not yet
	sends    int             // by entries in touch, later than contactSteps after listedAt
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

func newModel(t *rapid.T) *model {
	m := &model{t: t, trials: NewTrials(nil), listedAt: -1, suspectSince: -1, reported: map[Server]bool{}}
	for range rapid.IntRange(1, 8).Draw(t, "entries") {
		m.entries = append(m.entries, m.newEntry())
	}
	for range rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas") {
		m.replicas = append(m.replicas, &modelReplica{registry: NewRegistry(), startedAt: -contactSteps})
	}
	return m
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
	for _, record := range records {
		for _, b := range record.Breaks {
			m.reported[b.Server] = true
		}
	}
	if m.listedAt < 0 && len(m.reported) >= 3 {
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
	m.commitSuspects()
}

// commitSuspects does what the leader does: a request that a replica lists gets into the log.
func (m *model) commitSuspects() {
	listed := slices.ContainsFunc(m.replicas, func(r *modelReplica) bool {
		list, _ := r.registry.List()
		return len(list) > 0
	})
	if !listed {
		return
	}
	if m.suspectSince < 0 {
		m.suspectSince = m.step
	}
	m.trials.Note([]uint64{modelRequest}, m.now())
	for _, r := range m.replicas {
		r.registry.SetTrials([]uint64{modelRequest})
	}
}

// commitSteps is how long after a replica lists a request it is in the log.
const commitSteps = 2

// restartAll restarts all processes, if what replicas list had the time to get into the log.
func (m *model) restartAll() {
	if m.suspectSince < 0 || m.step-m.suspectSince < commitSteps {
		return
	}
	for i := range m.entries {
		m.entries[i] = m.newEntry()
	}
	for _, r := range m.replicas {
		r.registry, r.life, r.startedAt = NewRegistry(), r.life+1, m.step
		if m.trials.Requests() > 0 {
			r.registry.SetTrials([]uint64{modelRequest})
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
	switch rapid.SampledFrom([]string{"restart", "cut", "heal", "pause", "join", "replica", "all"}).Draw(m.t, "disturbance") {
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
	case "all":
		m.restartAll()
		return
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
// entries start, are cut off, pause or join in an unfortunate order, each with a trial of its own, or
// because all processes restart and forget what they knew.
func TestSendsOfSuspectStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
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

// Guards against the same where all processes restart once, after a replica has listed the request and
// before its first trial, and callers come back seldom.
func TestSendsOfSuspectStayWithinBoundWhenAllRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		gap := rapid.IntRange(20, 60).Draw(t, "steps between arrivals")
		wait := rapid.IntRange(commitSteps, 15).Draw(t, "steps until all restart")
		for step := range 800 {
			m.advance()
			if m.suspectSince >= 0 && m.step-m.suspectSince == wait {
				m.restartAll()
			}
			if step%gap == 0 {
				m.arrive(m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "at")])
			}
		}
		require.LessOrEqual(t, m.sends, MaxTrials)
	})
}
