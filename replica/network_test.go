package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica"
)

const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 20 * time.Millisecond
	simStep              = 2 * time.Millisecond
	simKind              = replica.KindApplication
)

// faults holds the rate of each fault, in percent unless noted otherwise.
type faults struct {
	Load                              int // of steps with a proposal; elections in an idle group differ from those under load
	Drop, Duplicate, Delay            int // of messages
	Crash, Freeze, Isolate            int // per 1,000 steps, at a random replica
	CutLink                           int // per 1,000 steps: one direction between two replicas fails
	LoseDisk, ChangeMembers, Transfer int // per 1,000 steps: disk loss, membership change, leadership transfer
	Snapshot, DriftPerMille           int // per 1,000 steps and replica; maximum deviation of clock rates, per mille
}

// delayedMessage is a message in transit.
type delayedMessage struct {
	deliverAt time.Duration
	m         replica.Message
}

// link is one direction of the connection between two replicas.
type link struct{ from, to uint64 }

// node is a replica with a disk that holds only what was synced.
type node struct {
	id          uint64
	core        *replica.Core // nil while the process is down
	disk        replica.State
	diskLost    bool  // the node does not come back
	clockRate   int64 // per mille of real time
	clockOffset time.Duration

	frozenUntil   time.Duration
	isolatedUntil time.Duration
	restartAt     time.Duration
	crashStep     int // step of the next Ready at which the process crashes; 0 for none

	values   []uint64 // state machine: applied values in order
	proposed map[replica.Position]uint64
	reads    map[uint64]uint64 // minimum index by read id
	leaseEnd time.Duration     // latest lease end returned, on the replica's clock
}

// simulation runs a group of replicas in virtual time and checks its safety
// properties.
type simulation struct {
	rng       *rand.Rand
	faults    faults
	now       time.Duration
	nodes     []*node
	delayed   []delayedMessage
	links     map[link]time.Duration // end of the failure
	nextID    uint64
	lastValue uint64

	leaders          map[uint64]uint64                 // leader by term
	applied          []replica.Entry                   // entries applied by any replica, at index i+1
	appliedInTerm    []uint64                          // term of the first replica that applied the entry
	written          map[replica.Position]writtenEntry // entries synced by any replica
	members          replica.Members                   // latest committed membership
	membersIndex     uint64
	ackedValues      []uint64 // acknowledged values
	ackIndex         uint64   // highest acknowledged index
	readCount        int
	snapshotInstalls int
	violation        error // first violated property
}

// writtenEntry identifies an entry's content and its predecessor.
type writtenEntry struct {
	previous uint64 // term of the preceding entry
	data     string
}

func newSimulation(seed uint64, size int, f faults) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), faults: f,
		links: map[link]time.Duration{}, leaders: map[uint64]uint64{}, written: map[replica.Position]writtenEntry{},
	}
	for range size {
		w.nextID++
		w.members.Voters = append(w.members.Voters, w.nextID)
	}
	for _, id := range w.members.Voters {
		n := w.addNode(id)
		n.disk.Snapshot.Meta.Members = w.members.Clone()
		w.boot(n)
	}
	return w
}

func (w *simulation) addNode(id uint64) *node {
	drift := int64(w.faults.DriftPerMille)
	n := &node{id: id, clockRate: 1000 - drift + w.rng.Int64N(2*drift+1), clockOffset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.clockOffset + now*time.Duration(n.clockRate)/1000
}

func (w *simulation) failf(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("at %v: "+format, append([]any{w.now}, args...)...)
	}
}

func (w *simulation) chance(perMille int) bool { return w.rng.IntN(1000) < perMille }

// boot starts a replica from its disk.
func (w *simulation) boot(n *node) {
	core, err := replica.NewCore(replica.Config{
		ID: n.id, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval,
		MaxMessageBytes: 200, MaxInflight: 4, Rand: w.rng.Int64N,
	}, n.disk, n.clock(w.now))
	if err != nil {
		w.failf("replica %d fails to start: %v", n.id, err)
		return
	}
	n.core = core
	n.values = decodeValues(n.disk.Snapshot.Data)
	n.proposed = map[replica.Position]uint64{}
	n.reads = map[uint64]uint64{}
}

func (w *simulation) crash(n *node) {
	n.core = nil
	n.leaseEnd = 0
	n.crashStep = 0
	n.restartAt = w.now
	if w.rng.IntN(2) == 0 {
		n.restartAt += time.Duration(w.rng.Int64N(int64(3 * simElectionTimeout)))
	}
}

func decodeValues(b []byte) []uint64 {
	var values []uint64
	if len(b) > 0 {
		if err := msgpack.Unmarshal(b, &values); err != nil {
			panic(err)
		}
	}
	return values
}

func decodeValue(b []byte) (value uint64) {
	if err := msgpack.Unmarshal(b, &value); err != nil {
		panic(err)
	}
	return value
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (w *simulation) send(n *node, messages []replica.Message) {
	for _, m := range messages {
		cut := w.now < n.isolatedUntil || w.now < w.links[link{m.From, m.To}]
		if cut || w.rng.IntN(100) < w.faults.Drop {
			continue
		}
		w.enqueue(m)
		if w.rng.IntN(100) < w.faults.Duplicate {
			w.enqueue(m)
		}
	}
}

// enqueue encodes and decodes m and delivers it after a random delay.
func (w *simulation) enqueue(m replica.Message) {
	delay := w.rng.Int64N(int64(5 * time.Millisecond))
	if w.rng.IntN(100) < w.faults.Delay {
		delay = w.rng.Int64N(int64(5 * simElectionTimeout))
	}
	var copied replica.Message
	if err := msgpack.Unmarshal(encode(m), &copied); err != nil {
		panic(err)
	}
	w.delayed = append(w.delayed, delayedMessage{deliverAt: w.now + time.Duration(delay), m: copied})
}

// processReady does the work in Ready; the process may crash between any two
// steps.
func (w *simulation) processReady(n *node) {
	for n.core != nil && w.violation == nil {
		rd, ok := n.core.Ready()
		if !ok {
			break
		}
		w.send(n, rd.Early)
		if w.crashesAt(n, 1) {
			return
		}
		w.sync(n, rd)
		if w.crashesAt(n, 2) {
			return
		}
		w.send(n, rd.Messages)
		if w.crashesAt(n, 3) {
			return
		}
		w.apply(n, rd)
		n.core.Advance(rd)
		w.checkReads(n, rd.Reads)
		if w.chance(w.faults.Snapshot) && n.core.AppliedIndex() > n.core.SnapshotIndex() {
			w.takeSnapshot(n)
		}
	}
	w.checkNode(n)
}

func (w *simulation) crashesAt(n *node, step int) bool {
	if n.crashStep != step {
		return false
	}
	w.crash(n)
	return true
}

func (w *simulation) sync(n *node, rd replica.Ready) {
	if rd.Snapshot != nil {
		w.snapshotInstalls++
		n.disk = replica.State{HardState: rd.HardState, Snapshot: *rd.Snapshot}
	}
	if !rd.MustSync {
		return
	}
	n.disk.HardState = rd.HardState
	if len(rd.Entries) == 0 {
		return
	}
	base := n.disk.Snapshot.Meta.Index
	n.disk.Entries = slices.Concat(n.disk.Entries[:rd.Entries[0].Index-base-1], rd.Entries)
	for i, e := range n.disk.Entries {
		previous := n.disk.Snapshot.Meta.Term
		if i > 0 {
			previous = n.disk.Entries[i-1].Term
		}
		w.checkWritten(n, e, writtenEntry{previous: previous, data: string(e.Data)})
	}
}

// checkWritten checks log matching: entries of the same index and term have the
// same content and predecessor.
func (w *simulation) checkWritten(n *node, e replica.Entry, entry writtenEntry) {
	at := replica.Position{Index: e.Index, Term: e.Term}
	have, ok := w.written[at]
	if ok && have != entry {
		w.failf("log matching: replica %d has a different entry at %+v", n.id, at)
	}
	w.written[at] = entry
}

func (w *simulation) apply(n *node, rd replica.Ready) {
	if rd.Snapshot != nil {
		n.values = decodeValues(rd.Snapshot.Data)
	}
	for _, e := range rd.Committed {
		w.checkApplied(n, e)
		if e.Kind == simKind {
			n.values = append(n.values, decodeValue(e.Data))
		}
		at := replica.Position{Index: e.Index, Term: e.Term}
		if value, ok := n.proposed[at]; ok {
			w.ackedValues = append(w.ackedValues, value)
			w.ackIndex = max(w.ackIndex, e.Index)
		}
	}
}

// checkApplied checks state machine safety: all replicas apply the same entry at
// an index.
func (w *simulation) checkApplied(n *node, e replica.Entry) {
	switch next := uint64(len(w.applied)) + 1; {
	case e.Index > next:
		w.failf("replica %d applied entry %d before any replica applied %d", n.id, e.Index, next)
	case e.Index == next:
		w.applied = append(w.applied, e)
		w.appliedInTerm = append(w.appliedInTerm, n.core.Term())
	default:
		if have := w.applied[e.Index-1]; have.Term != e.Term || string(have.Data) != string(e.Data) {
			w.failf("state-machine safety: replica %d applied a different entry %d", n.id, e.Index)
		}
	}
	if e.Kind == replica.KindMembership && e.Index > w.membersIndex {
		w.members = replica.Members{}
		w.membersIndex = e.Index
		if err := msgpack.Unmarshal(e.Data, &w.members); err != nil {
			panic(err)
		}
	}
}

func (w *simulation) checkReads(n *node, reads []replica.ReadState) {
	for _, r := range reads {
		w.readCount++
		if minIndex, ok := n.reads[r.ID]; ok && r.Index < minIndex {
			w.failf("stale read at replica %d: index %d, but %d was acknowledged before", n.id, r.Index, minIndex)
		}
		delete(n.reads, r.ID)
	}
}

func (w *simulation) takeSnapshot(n *node) {
	s := replica.Snapshot{Meta: n.core.SnapshotMeta(), Data: encode(n.values)}
	n.disk.Entries = n.disk.Entries[s.Meta.Index-n.disk.Snapshot.Meta.Index:]
	n.disk.Snapshot = s
	n.core.Compact(s, uint64(w.rng.IntN(10)), 300)
}

// checkNode records the lease and checks election safety, leader completeness and
// LastIndexOf.
func (w *simulation) checkNode(n *node) {
	if n.core == nil {
		return
	}
	if _, until, ok := n.core.Lease(); ok {
		n.leaseEnd = max(n.leaseEnd, until)
	}
	w.checkLastIndexOf(n)
	if n.core.Role() != replica.Leader {
		return
	}
	term := n.core.Term()
	if other, ok := w.leaders[term]; ok {
		if other != n.id {
			w.failf("election safety: replicas %d and %d are both leader of term %d", other, n.id, term)
		}
		return
	}
	w.leaders[term] = n.id
	w.checkLeaderCompleteness(n, term)
}

// checkLeaderCompleteness checks that the leader has the entries committed in
// earlier terms. A frozen candidate may become the leader of an old term late; it
// need not have entries committed in later terms.
func (w *simulation) checkLeaderCompleteness(n *node, term uint64) {
	base := n.disk.Snapshot.Meta.Index
	for i, e := range w.applied {
		if e.Index <= base || w.appliedInTerm[i] >= term {
			continue
		}
		at := e.Index - base - 1
		if at >= uint64(len(n.disk.Entries)) || n.disk.Entries[at].Term != e.Term {
			w.failf("leader completeness: leader %d of term %d lacks entry %d", n.id, term, e.Index)
			return
		}
	}
}

func (w *simulation) checkLastIndexOf(n *node) {
	want := uint64(0)
	for _, e := range w.applied[:min(int(n.disk.Snapshot.Meta.Index), len(w.applied))] {
		if e.Kind == simKind {
			want = e.Index
		}
	}
	for _, e := range n.disk.Entries {
		if e.Kind == simKind {
			want = e.Index
		}
	}
	if got := n.core.LastIndexOf(simKind); got != want {
		w.failf("replica %d: last index of kind %d is %d, want %d", n.id, simKind, got, want)
	}
}

// checkLeases checks that at most one replica, running or frozen, holds a lease. A
// lease counts until its end even after the leader has stepped down, because an
// operation that relies on it may be in progress.
func (w *simulation) checkLeases() {
	holder := uint64(0)
	for _, n := range w.nodes {
		if n.leaseEnd <= n.clock(w.now) {
			continue
		}
		if holder != 0 {
			w.failf("lease: replicas %d and %d both hold one", holder, n.id)
		}
		holder = n.id
	}
}
