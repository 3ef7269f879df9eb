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

// Lease reports whether this replica is the leader, its term, and until when no
// other replica can lead. It is implemented by host.Host.
type Lease interface {
	HoldsLease() (term uint64, until time.Time, ok bool)
}

// OrdersConfig holds the settings of Orders.
type OrdersConfig struct {
	// SettleDelay is the time for which a new leader holds its lease before its
	// first order, and for which a server gets no order after one with an unknown
	// outcome. It should equal the election timeout.
	SettleDelay time.Duration
	// LeaseMargin is the time between an order's deadline and the end of the lease.
	LeaseMargin time.Duration
	// MinCallTime is the minimum time until the deadline. With less time remaining,
	// an order is not sent.
	MinCallTime time.Duration
}

// DefaultOrdersConfig returns settings for replicas with the given election
// timeout. As heartbeats are sent every fifth of the timeout, the remaining lease
// is 0.7 to 0.9 of it.
func DefaultOrdersConfig(electionTimeout time.Duration) OrdersConfig {
	return OrdersConfig{
		SettleDelay: electionTimeout,
		LeaseMargin: electionTimeout / 10,
		MinCallTime: electionTimeout / 5,
	}
}

// OrdersDeps holds the dependencies of Orders.
type OrdersDeps struct {
	Lease Lease
	Log   *slog.Logger
	Now   func() time.Time // must return times with a monotonic clock reading, as the lease does
	// Dial connects to a server; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Errors of Send after which certainly nothing of the order was sent.
var (
	// ErrNotLeading: this replica does not hold the lease, or too little of it remains.
	ErrNotLeading = errors.New("fleet: the leader's lease does not cover the order")
	// ErrInFlight: another order to the same server is in flight.
	ErrInFlight = errors.New("fleet: another order to this server is under way")
	// ErrOutcomeUnknown: the outcome of an earlier order to this server is unknown,
	// and that order may still arrive.
	ErrOutcomeUnknown = errors.New("fleet: an earlier order to this server may still arrive")
)

// Orders sends orders to backend servers while this replica is the leader. It is
// safe for concurrent use.
type Orders struct {
	cfg  OrdersConfig
	deps OrdersDeps

	mu        sync.Mutex
	term      uint64    // highest term in which this replica has held the lease
	termSince time.Time // when the lease of term was first observed
	sequence  uint64    // of the last order in term
	servers   map[string]serverState
}

// serverState blocks further orders to one server.
type serverState struct {
	inFlight     bool
	blockedUntil time.Time // no orders before this time
}

// NewOrders returns an Orders that has not sent any order.
func NewOrders(cfg OrdersConfig, deps OrdersDeps) *Orders {
	if deps.Dial == nil {
		deps.Dial = dial
	}
	return &Orders{cfg: cfg, deps: deps, servers: make(map[string]serverState)}
}

// Send sends an order to a backend server and waits for its answer. It sets the
// order's Fence. In a new term it first waits until the lease has been held for
// SettleDelay. It returns ErrNotLeading, ErrInFlight, ErrOutcomeUnknown, the
// context's error while it waits, or a *native.CallError, for which native.NotRun
// reports whether the order was certainly not followed, and native.OldFence
// whether another replica leads.
//
// Only one order to a server is in flight: two could arrive in either order, and a
// server that checks tokens would refuse the lower one of a valid leader.
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

// waitSettled waits until this replica has held the lease of one term for
// SettleDelay, and returns the term. Otherwise an order of the old leader, in
// transit when its lease ended, could arrive after one of this leader and be
// followed by a server that ignores the token.
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

// observeTerm returns the current term and the remaining settle delay in it.
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

// reserve returns the next token and blocks other orders to the server.
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

// deliver connects, checks the lease again and writes the order. Connecting can
// take long, and the process can be suspended meanwhile; with a check only before
// it, a replaced leader could send an order.
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
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the caller has canceled
	defer stop()
	if end, err = o.deadline(order.Fence); err != nil {
		return err
	}
	limitLifetime(conn, end, end.Sub(o.deps.Now()))
	return exchange(conn, address, message)
}

// deadline returns the deadline of an order with this token. It fails if the lease
// of the token's term is not held or if less than MinCallTime remains.
func (o *Orders) deadline(fence uint64) (time.Time, error) {
	term, until, ok := o.deps.Lease.HoldsLease()
	end := until.Add(-o.cfg.LeaseMargin)
	remaining := end.Sub(o.deps.Now())
	if !ok || term != Fence(fence).Term() || remaining < o.cfg.MinCallTime {
		return end, fmt.Errorf("%w: %v remaining", ErrNotLeading, remaining)
	}
	return end, nil
}
