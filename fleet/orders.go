package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/native"
)

// Lease says whether this replica is the leader and until when surely no other
// one is; host.Host is one.
type Lease interface {
	HoldsLease() (term uint64, until time.Time, ok bool)
}

// OrdersConfig is the settings of Orders.
type OrdersConfig struct {
	// SettleDelay is how long a new leader holds its lease before its first order, and
	// how long a server is left alone after an order with an unknown outcome. Use
	// the election timeout.
	SettleDelay time.Duration
	// LeaseMargin is how long before the end of the lease an order must be through.
	LeaseMargin time.Duration
	// MinCallTime is the least time for one order; with less of the lease left, it is
	// not begun.
	MinCallTime time.Duration
}

// DefaultOrdersConfig returns the settings for replicas with this election
// timeout. The lease that is left lies between 0.7 and 0.9 of it, as heartbeats
// go out every fifth.
func DefaultOrdersConfig(electionTimeout time.Duration) OrdersConfig {
	return OrdersConfig{
		SettleDelay: electionTimeout,
		LeaseMargin: electionTimeout / 10,
		MinCallTime: electionTimeout / 5,
	}
}

// OrdersDeps is what Orders works with.
type OrdersDeps struct {
	Lease Lease
	Log   *slog.Logger
	Now   func() time.Time // must carry a monotonic reading, as the lease's
	// Dial connects to a server; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// The errors of Give, for which surely nothing was sent.
var (
	// ErrNotLeading: this replica does not hold the lease, or not for long enough.
	ErrNotLeading = errors.New("fleet: the leader's lease does not cover the order")
	// ErrInFlight: an order to the same server is under way.
	ErrInFlight = errors.New("fleet: another order to this server is under way")
	// ErrOutcomeUnknown: the outcome of the last order to this server is not known, and
	// its bytes may still be under way.
	ErrOutcomeUnknown = errors.New("fleet: an earlier order to this server may still arrive")
)

// Orders gives orders to backend servers while this replica leads. It is safe
// for concurrent use.
type Orders struct {
	cfg  OrdersConfig
	deps OrdersDeps

	mu        sync.Mutex
	term      uint64    // of the latest lease seen
	termSince time.Time // when the lease of term was first seen
	sequence  uint64    // of the last order of term
	servers   map[string]serverState
}

// serverState is what bars further orders to one server.
type serverState struct {
	inFlight     bool
	blockedUntil time.Time // no order before
}

// NewOrders returns an Orders that has given none.
func NewOrders(cfg OrdersConfig, deps OrdersDeps) *Orders {
	if deps.Dial == nil {
		deps.Dial = dial
	}
	return &Orders{cfg: cfg, deps: deps, servers: make(map[string]serverState)}
}

// Send sends an order to a backend server and waits for its word. It sets the
// order's Fence. In a new term it first waits until the lease has been held for
// Settle. Errors: ErrNotLeading, ErrInFlight, ErrUnsettled, the context's while
// it waits, or a *native.CallError: native.NotRun tells whether the order
// surely was not followed, native.OldFence that another replica leads.
//
// Orders to one server go one at a time: two under way could arrive in either
// order, and a server that checks would refuse the lower number of a leader
// that is well in office.
func (o *Orders) Send(ctx context.Context, address string, order native.Order) error {
	fence, err := o.sendFenced(ctx, address, order)
	attrs := []slog.Attr{
		slog.Uint64("fence", uint64(fence)), slog.Uint64("term", fence.Term()),
		slog.String("peer", address), slog.String("order", string(order.Kind)),
	}
	if err != nil {
		event.Log(ctx, o.deps.Log, slog.LevelWarn, event.OrderRefused, append(attrs, slog.String("reason", refusalReason(err)))...)
		return trace.Wrap(err, "step=order peer=%s", address)
	}
	event.Log(ctx, o.deps.Log, slog.LevelInfo, event.OrderGiven, attrs...)
	return nil
}

func refusalReason(err error) string {
	if native.OldFence(err) {
		return "old fence"
	}
	return err.Error()
}

func (o *Orders) sendFenced(ctx context.Context, address string, order native.Order) (Fence, error) {
	term, err := o.waitSettled(ctx)
	if err != nil {
		return 0, err
	}
	fence, err := o.reserve(term, address)
	if err != nil {
		return fence, err
	}
	order.Fence = uint64(fence)
	err = o.deliver(ctx, address, order)
	o.release(address, err)
	return fence, err
}

// waitSettled waits until this replica has held the lease of one term for Settle.
// Without it, a server that ignores the number could follow an order of the old
// leader that was under way at the end of its lease after one of this leader.
func (o *Orders) waitSettled(ctx context.Context) (uint64, error) {
	for {
		term, wait, err := o.observeTerm()
		if err != nil || wait <= 0 {
			return term, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return 0, ctx.Err()
		case <-timer.C:
		}
	}
}

// observeTerm returns the term and what is left of the wait in it.
func (o *Orders) observeTerm() (uint64, time.Duration, error) {
	term, _, ok := o.deps.Lease.HoldsLease()
	if !ok {
		return 0, 0, ErrNotLeading
	}
	now := o.deps.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if term < o.term {
		return 0, 0, ErrNotLeading
	}
	if term > o.term {
		o.term, o.termSince, o.sequence = term, now, 0
	}
	return term, o.termSince.Add(o.cfg.SettleDelay).Sub(now), nil
}

// reserve takes the next number and bars other orders to the server.
func (o *Orders) reserve(term uint64, address string) (Fence, error) {
	now := o.deps.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.servers[address]
	switch {
	case term != o.term:
		return 0, ErrNotLeading
	case s.inFlight:
		return 0, ErrInFlight
	case now.Before(s.blockedUntil):
		return 0, ErrOutcomeUnknown
	}
	fence, err := NewFence(term, o.sequence+1)
	if err != nil {
		return 0, err
	}
	o.sequence++
	o.servers[address] = serverState{inFlight: true}
	return fence, nil
}

func (o *Orders) release(address string, err error) {
	now := o.deps.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if unknown := err != nil && !native.NotRun(err) && !errors.Is(err, ErrNotLeading); unknown {
		o.servers[address] = serverState{blockedUntil: now.Add(o.cfg.SettleDelay)}
		return
	}
	delete(o.servers, address)
}

// deliver connects, asks for the lease, and only then writes. Connecting can take
// long, and the process can be frozen meanwhile; an answer from before it would
// let a leader that another has replaced give an order.
func (o *Orders) deliver(ctx context.Context, address string, order native.Order) error {
	message, err := encodeOrder(address, order)
	if err != nil {
		return err
	}
	end, err := o.deadline(order.Fence)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	conn, err := o.deps.Dial(callCtx, address)
	if err != nil {
		return &native.CallError{Step: native.StepConnect, Peer: address, Delivery: native.NotSent, Err: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the caller has given up
	defer stop()
	if end, err = o.deadline(order.Fence); err != nil {
		return err
	}
	limitLifetime(conn, end, end.Sub(o.deps.Now()))
	return exchange(conn, address, message)
}

// deadline returns by when an order with this number must be through, if there
// is time enough for it.
func (o *Orders) deadline(fence uint64) (time.Time, error) {
	term, until, ok := o.deps.Lease.HoldsLease()
	end := until.Add(-o.cfg.LeaseMargin)
	remaining := end.Sub(o.deps.Now())
	if !ok || term != Fence(fence).Term() || remaining < o.cfg.MinCallTime {
		return end, fmt.Errorf("%w: %v left", ErrNotLeading, remaining)
	}
	return end, nil
}
