package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// cluster runs cores in virtual time with encoded messages. It delays, drops and
// duplicates messages, and freezes and stops nodes.
type cluster struct {
	now         time.Time
	rng         *rand.Rand
	nodes       []*simNode
	byAddr      map[string]*simNode
	queue       eventQueue
	order       uint64
	loss        float64 // fraction of messages that are dropped
	duplication float64 // fraction of messages that are delivered twice
	cut         func(from, to *simNode) bool
	cfg         Config // configuration of all nodes
	stepTime    time.Duration
	steps       uint64
}

type simNode struct {
	cluster          *cluster
	core             *core
	view             *instance.View
	id               string
	region           string
	zone             string
	addr             string
	frozen           bool
	dead             bool
	deferred         []func() // steps that came in while frozen
	onEvent          func(Event)
	receivedMessages uint64
	receivedBytes    uint64
}

type simEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		now:    time.Unix(1_800_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[string]*simNode),
		cut:    func(_, _ *simNode) bool { return false },
		cfg:    Config{}.withDefaults(),
	}
}

func (c *cluster) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, simEvent{at: c.now.Add(d), order: c.order, run: run})
}

// run advances virtual time by d.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(simEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// runUntil runs until cond holds, checked every 250 ms, for at most bound. It returns
// the time run.
func (c *cluster) runUntil(bound time.Duration, cond func() bool) time.Duration {
	const step = 250 * time.Millisecond
	for spent := time.Duration(0); spent < bound; spent += step {
		if cond() {
			return spent
		}
		c.run(step)
	}
	return bound
}

// add starts a node that joins through the first two.
func (c *cluster) add(region, zone string) *simNode {
	return c.addAs(fmt.Sprintf("entry-%03d", len(c.nodes)), 1, region, zone)
}

func (c *cluster) addAs(id string, inc uint64, region, zone string) *simNode {
	cfg := c.cfg
	cfg.Self = instance.Member{
		ID: id, Incarnation: inc, Role: instance.RoleEntry, Region: region, Zone: zone,
		CallerAddress: id + ".example:8080", LinkAddress: id + ".example:7000", State: instance.StateServing,
	}
	cfg.Seeds = []string{"entry-000.example:7000", "entry-001.example:7000"}
	core, err := newCore(cfg, rand.New(rand.NewPCG(c.rng.Uint64(), 2)), c.now)
	if err != nil {
		panic(err)
	}
	n := &simNode{cluster: c, core: core, view: instance.NewView(), id: id, region: region, zone: zone, addr: cfg.Self.LinkAddress}
	c.nodes = append(c.nodes, n)
	c.byAddr[n.addr] = n
	c.after(time.Duration(c.rng.Int64N(int64(cfg.Tick))), n.tick)
	return n
}

func (n *simNode) tick() {
	if n.dead {
		return
	}
	if !n.frozen {
		n.step(func(now time.Time) { n.core.tick(now) })
	}
	n.cluster.after(n.core.cfg.Tick, n.tick)
}

// step runs one step of the core, as Node.step does. For a frozen node, the step runs
// when it resumes.
func (n *simNode) step(fn func(now time.Time)) {
	if n.dead {
		return
	}
	if n.frozen {
		n.deferred = append(n.deferred, func() { n.step(fn) })
		return
	}
	start := time.Now()
	fn(n.cluster.now)
	updates, events := n.core.drainChanges(n.cluster.now)
	n.view.Apply(updates)
	n.cluster.stepTime += time.Since(start)
	n.cluster.steps++
	out := n.core.out
	n.core.out = nil
	for _, e := range events {
		if n.onEvent != nil {
			n.onEvent(e)
		}
	}
	for _, o := range out {
		n.transmit(o)
	}
}

func (n *simNode) transmit(o outgoing) {
	c := n.cluster
	to := c.byAddr[o.To]
	if to == nil || to.dead || c.cut(n, to) || c.rng.Float64() < c.loss {
		return
	}
	copies := 1
	if c.rng.Float64() < c.duplication {
		copies = 2
	}
	for range copies {
		delay := 500*time.Microsecond + time.Duration(c.rng.Int64N(int64(3*time.Millisecond)))
		if n.region != to.region {
			delay += 20 * time.Millisecond
		}
		c.after(delay, func() { to.receive(n, o.Message) })
	}
}

func (n *simNode) receive(from *simNode, data []byte) {
	n.receivedMessages++
	n.receivedBytes += uint64(len(data))
	n.step(func(now time.Time) {
		m, err := decodeMessage(data)
		if err != nil {
			panic(err)
		}
		n.core.receive(sender{ID: from.id, Address: from.addr}, m, now)
	})
}

func (n *simNode) freeze() { n.frozen = true }

// resume ends a freeze. The node ticks first; then it handles the messages that came in
// meanwhile, or, without keepInbox, drops them as if its connections had closed.
func (n *simNode) resume(keepInbox bool) {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	n.step(func(now time.Time) { n.core.tick(now) })
	if !keepInbox {
		return
	}
	for _, fn := range deferred {
		fn()
	}
}

// simServer is a backend server that announces itself once a second to its home, and
// chooses another home when that one doesn't answer.
type simServer struct {
	cluster      *cluster
	announcement instance.Announcement
	home         *simNode
	chooseHome   func() *simNode
	stopped      bool
	varyLoad     bool // its load changes with every heartbeat
}

func (c *cluster) addServer(id string, inc uint64, region, zone string, homes func() *simNode) *simServer {
	s := &simServer{cluster: c, chooseHome: homes, home: homes(), announcement: instance.Announcement{
		ID: id, Incarnation: inc, Address: id + ".example:9000", Region: region, Zone: zone,
		Class: "gpu-8x", State: instance.StateServing, Model: "llama-70b", Version: "2026-11",
		Adapters: []string{"bordereaux-v3"}, Role: "decode", Slots: 64,
	}}
	c.after(time.Duration(c.rng.Int64N(int64(time.Second))), s.heartbeat)
	return s
}

func (s *simServer) heartbeat() {
	if s.stopped {
		return
	}
	s.announce()
	s.cluster.after(time.Second, s.heartbeat)
}

func (s *simServer) announce() {
	if s.home.dead || s.home.frozen {
		s.home = s.chooseHome()
	}
	s.announcement.Sequence++
	if s.varyLoad {
		rng := s.cluster.rng
		s.announcement.Load.Running = max(0, min(s.announcement.Slots, s.announcement.Load.Running+rng.IntN(17)-8))
		s.announcement.Load.Waiting = max(0, s.announcement.Load.Waiting+rng.IntN(5)-2)
		s.announcement.Load.TokensPerSec = float64(s.announcement.Load.Running) * 22
	}
	s.announcement.Load.At = s.cluster.now
	a := s.announcement
	s.home.step(func(now time.Time) {
		if err := s.home.core.announce(a, now); err != nil {
			panic(err)
		}
	})
}

// setState changes the state and announces it at once.
func (s *simServer) setState(state instance.State) {
	s.announcement.State = state
	s.announce()
}
