package membership

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
)

// Method is the link notice that carries messages between members.
const Method = "membership.gossip"

// MaxSharedBytes bounds key and body of a shared record, and id and description of a
// backend server, so that each fits into one message.
const MaxSharedBytes = 4 << 10

// Deps are the dependencies of a Node. Pool is required.
type Deps struct {
	Pool *link.Pool
	Log  *slog.Logger
	Rand *rand.Rand // nil: randomly seeded
}

// Node is one member: an entry or a control replica.
type Node struct {
	cfg  Config
	pool *link.Pool
	log  *slog.Logger
	view *instance.View
	wake chan struct{} // signals that events are pending

	mu     sync.Mutex // guards core and events; not held during network calls
	core   *core
	events []Event

	subscribersMu sync.Mutex // guards subscribers; never held together with mu
	subscribers   []func(Event)
}

// New returns a node without other members; it joins them in Run. It returns an error
// if Self.ID, Self.LinkAddress or Deps.Pool is missing.
func New(cfg Config, deps Deps) (*Node, error) {
	if cfg.Self.ID == "" || cfg.Self.LinkAddress == "" {
		return nil, trace.BadParameter("membership: own id and link address are required")
	}
	if deps.Pool == nil {
		return nil, trace.BadParameter("membership: a link pool is required")
	}
	if deps.Rand == nil {
		deps.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if deps.Log == nil {
		deps.Log = slog.New(slog.DiscardHandler)
	}
	cfg = cfg.withDefaults()
	c, err := newCore(cfg, deps.Rand, time.Now())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{cfg: cfg, pool: deps.Pool, log: deps.Log, view: instance.NewView(), core: c, wake: make(chan struct{}, 1)}
	n.step(func(time.Time) {})
	n.pool.OnDisconnect(func(addr string) {
		n.step(func(time.Time) { n.core.connectionLost(addr) })
	})
	return n, nil
}

// Run runs the node until ctx ends, and returns nil. It doesn't announce that this
// member leaves: call SetSelf before.
func (n *Node) Run(ctx context.Context) error {
	tick := time.NewTicker(n.cfg.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.step(n.core.tick)
		case <-n.wake:
		}
		n.deliver()
	}
}

// Register registers the handler of other members' messages on s.
func (n *Node) Register(s *link.Server) {
	link.HandleNotice(s, Method, func(_ context.Context, from link.PeerInfo, body []byte) {
		m, err := decodeMessage(body)
		if err != nil {
			n.log.Warn("gossip message rejected", "peer", from.ID, "address", from.Address, "err", err)
			return
		}
		n.step(func(now time.Time) {
			n.core.receive(sender{ID: from.ID, Address: from.Address}, m, now)
		})
	})
	link.Handle(s, MethodHold, n.receiveHold)
}

// Announce applies an announcement that a backend server sent to this process. An
// announcement older than the current state is ignored without an error. Announce
// returns an error if the id or address is missing, the state is unknown, or the
// announcement is too large for one message.
func (n *Node) Announce(a instance.Announcement) error {
	if a.ID == "" || a.Address == "" {
		return trace.BadParameter("announcement: id and address are required")
	}
	if a.State != instance.StateServing && a.State != instance.StateLeaving && a.State != instance.StateGone {
		return trace.BadParameter("announcement of %q: unknown state %q", a.ID, a.State)
	}
	var err error
	n.step(func(now time.Time) { err = n.core.announce(a, now) })
	return trace.Wrap(err)
}

// SetSelf calls fn to change this member's State, Load and Catalogue; changes of other
// fields are ignored. Once set, leaving and gone can't be undone.
func (n *Node) SetSelf(fn func(*instance.Member)) {
	n.step(func(now time.Time) {
		m := n.core.selfMember
		fn(&m)
		n.core.setSelf(m, now)
	})
}

// Put sets a shared record and disseminates it. Key and body together are limited to
// MaxSharedBytes; a larger record is dropped and logged.
func (n *Node) Put(key string, version uint64, body []byte) {
	if size := len(key) + len(body); size > MaxSharedBytes {
		n.log.Error("shared record too large", "key", key, "bytes", size, "bound", MaxSharedBytes)
		return
	}
	n.step(func(now time.Time) { n.core.put(key, version, body, now) })
}

// View returns the view that this node keeps up to date.
func (n *Node) View() *instance.View { return n.view }

// Subscribe registers fn for all later events. The goroutine of Run calls it for one
// event at a time, in order, after the view has been updated. fn must not block.
func (n *Node) Subscribe(fn func(Event)) {
	n.subscribersMu.Lock()
	defer n.subscribersMu.Unlock()
	n.subscribers = append(n.subscribers, fn)
}

// step runs fn on the core, updates the view, and then sends the resulting messages.
func (n *Node) step(fn func(now time.Time)) {
	n.mu.Lock()
	now := time.Now()
	fn(now)
	updates, events := n.core.drainChanges(now)
	// Under the lock, so that the view changes in the same order as the core.
	n.view.Apply(updates)
	n.events = append(n.events, events...)
	out := n.core.out
	n.core.out = nil
	n.mu.Unlock()
	if len(events) > 0 {
		n.signal()
	}
	n.send(out)
}

func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) deliver() {
	n.mu.Lock()
	events := n.events
	n.events = nil
	n.mu.Unlock()
	n.subscribersMu.Lock()
	subs := n.subscribers
	n.subscribersMu.Unlock()
	for _, e := range events {
		for _, fn := range subs {
			fn(e)
		}
	}
}

// send passes messages to the link. A failed message is not repeated: the core probes
// the member and disseminates through others.
func (n *Node) send(out []outgoing) {
	for _, o := range out {
		err := link.Notify(n.pool, o.To, Method, o.Message)
		if err == nil || o.ID == "" {
			continue
		}
		if errors.Is(err, link.ErrUnreachable) || errors.Is(err, link.ErrBusy) {
			n.mu.Lock()
			n.core.sendFailed(o.ID, time.Now())
			n.mu.Unlock()
		}
	}
}
