package fleet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
)

// discardStorage keeps nothing: no replica restarts in these tests.
type discardStorage struct{}

func (discardStorage) State() replica.State                          { return replica.State{} }
func (discardStorage) Save(replica.HardState, []replica.Entry) error { return nil }
func (discardStorage) SaveSnapshot(replica.Snapshot) error           { return nil }
func (discardStorage) Install(replica.HardState, replica.Snapshot) error {
	return nil
}

type noopMachine struct{}

func (noopMachine) Apply(replica.Entry) (any, error) { return nil, nil }
func (noopMachine) Snapshot() ([]byte, error)        { return nil, nil }
func (noopMachine) Restore([]byte) error             { return nil }

// replicaGroup is three replicas in one process. Its transport drops what a replica
// that is cut off sends or is sent.
type replicaGroup struct {
	mu       sync.Mutex
	hosts    map[uint64]*host.Host
	isolated uint64
}

func (g *replicaGroup) Send(m replica.Message) {
	g.mu.Lock()
	h, drop := g.hosts[m.To], m.To == g.isolated || m.From == g.isolated
	g.mu.Unlock()
	if h != nil && !drop {
		h.Step(m)
	}
}

// run starts the replicas; they end with ctx.
func (g *replicaGroup) run(ctx context.Context, t require.TestingT, wg *sync.WaitGroup, seed uint64) {
	g.hosts = map[uint64]*host.Host{}
	for id := uint64(1); id <= 3; id++ {
		h, err := host.New(host.Config{ID: id, Voters: []uint64{1, 2, 3}}, host.Deps{
			Storage: discardStorage{}, Transport: g, Machine: noopMachine{}, Logger: slog.New(slog.DiscardHandler),
			Now: time.Now, Rand: rand.New(rand.NewPCG(seed, id)).Int64N,
		})
		require.NoError(t, err)
		g.mu.Lock()
		g.hosts[id] = h
		g.mu.Unlock()
		wg.Go(func() { _ = h.Run(ctx) }) // ends with ctx
	}
}

// leader waits, in virtual time, for a leader other than not.
func (g *replicaGroup) leader(ctx context.Context, except uint64) uint64 {
	for ctx.Err() == nil {
		for id, h := range g.hosts {
			if _, _, ok := h.HoldsLease(); ok && id != except {
				return id
			}
		}
		<-time.After(time.Millisecond)
	}
	return 0
}

// memoryNetwork connects to engines in memory. An order arrives there delay after it was
// written, whether or not its sender still waits.
type memoryNetwork struct {
	engines    []*fake.Engine
	delay      time.Duration
	resumeDial chan struct{} // the sender stands still at its dial until this is closed
	testDone   <-chan struct{}
	wg         *sync.WaitGroup
	dialled    atomic.Bool
}

func (w *memoryNetwork) dial(context.Context, string) (net.Conn, error) {
	w.dialled.Store(true)
	if w.resumeDial != nil {
		select {
		case <-w.resumeDial:
		case <-w.testDone:
		}
	}
	client, server := net.Pipe()
	w.wg.Go(func() {
		defer server.Close()
		req, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		rec := httptest.NewRecorder()
		body := make([]byte, req.ContentLength)
		_, _ = req.Body.Read(body) // the message came in one piece
		<-time.After(w.delay)
		for _, e := range w.engines {
			rec = httptest.NewRecorder()
			e.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, native.PathOrders, bytes.NewReader(body)))
		}
		_ = rec.Result().Write(server) // the sender may have gone
	})
	return client, nil
}

// noDeadline hides the real deadline of the test from rapid: it means nothing in
// virtual time.
type noDeadline struct{ rapid.TB }

// A control leader that the network cuts off, or whose process stands still,
// is replaced without knowing it. It may be in the middle of an order to a
// backend server just then, or the order may still be under way. If the server
// followed it after the new leader's order, it would unload the model that the
// new leader had it load, and callers would be refused. The server here ignores
// the number and another one checks it: neither follows a falling number.
//
// The freeze breaks without the second deadline and the limit in send, the delay
// without the wait in settled.
func TestReplacedLeaderOrderIsNotFollowedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, checkReplacedLeader)
	})
}

func checkReplacedLeader(t *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var g replicaGroup
	g.run(ctx, t, &wg, rapid.Uint64().Draw(t, "seed"))
	engines := []*fake.Engine{fake.NewEngine(fake.EngineConfig{ID: "ignores"}, fake.Deps{}), fake.NewEngine(fake.EngineConfig{ID: "checks", ChecksFences: true}, fake.Deps{})}
	oldLeader := g.leader(ctx, 0)
	oldNetwork := &memoryNetwork{engines: engines, wg: &wg, delay: rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 650 * time.Millisecond}).Draw(t, "delay")}
	if rapid.Bool().Draw(t, "frozen") {
		oldNetwork.resumeDial = make(chan struct{})
	}
	oldNetwork.testDone = ctx.Done()
	newNetwork := &memoryNetwork{engines: engines, wg: &wg}
	newOrders := func(id uint64, w *memoryNetwork) *Orders {
		return NewOrders(DefaultOrdersConfig(host.DefaultTickInterval*host.DefaultElectionTicks), OrdersDeps{
			Lease: g.hosts[id], Log: slog.New(slog.DiscardHandler), Now: time.Now, Dial: w.dial,
		})
	}
	sendOrder := func(o *Orders, model string) error {
		return o.Send(ctx, "server", native.Order{Kind: native.OrderLoadAdapter, Adapter: model})
	}
	oldOrders := newOrders(oldLeader, oldNetwork)
	_, err := oldOrders.waitSettled(ctx)
	require.NoError(t, err)
	// The old leader is cut off, nobody tells it, and it goes on as its lease lets
	// it. Against an order that is under way for more than 650 ms no time bound
	// here would help.
	g.mu.Lock()
	g.isolated = oldLeader
	g.mu.Unlock()
	<-time.After(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond}).Draw(t, "late"))
	var oldErr error
	done := make(chan struct{})
	wg.Go(func() { defer close(done); oldErr = sendOrder(oldOrders, "old") })
	newLeader := g.leader(ctx, oldLeader)
	require.NoError(t, sendOrder(newOrders(newLeader, newNetwork), "new"))
	if oldNetwork.resumeDial != nil {
		close(oldNetwork.resumeDial)
	}
	<-done
	<-time.After(time.Second) // whatever is under way arrives
	for _, e := range engines {
		orders := e.Stats().Orders
		require.Equal(t, "new", orders[len(orders)-1].Adapter, "%v: old order: %v", orders, oldErr)
	}
	if oldNetwork.resumeDial != nil && oldNetwork.dialled.Load() {
		require.ErrorIs(t, oldErr, ErrNotLeading)
	}
}

// leaseFunc is a scripted lease.
type leaseFunc func() (uint64, time.Time, bool)

func (f leaseFunc) HoldsLease() (uint64, time.Time, bool) { return f() }

// Two orders to one server are given at the same time, and one whose answer was
// lost is followed by another. Were they under way together, a server that
// ignores the number could follow the older one last.
func TestOrdersToOneServerAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		w := &memoryNetwork{engines: []*fake.Engine{fake.NewEngine(fake.EngineConfig{ID: "slow"}, fake.Deps{})}, wg: &wg, delay: 400 * time.Millisecond}
		o := NewOrders(DefaultOrdersConfig(500*time.Millisecond), OrdersDeps{
			Lease: leaseFunc(func() (uint64, time.Time, bool) { return 7, time.Now().Add(400 * time.Millisecond), true }),
			Log:   slog.New(slog.DiscardHandler), Now: time.Now, Dial: w.dial,
		})
		order := native.Order{Kind: native.OrderRole, Role: "prefill"}
		var errs [2]error
		for i := range errs {
			wg.Go(func() { errs[i] = o.Send(t.Context(), "server", order) })
		}
		wg.Wait()
		require.True(t, errors.Is(errs[0], ErrInFlight) != errors.Is(errs[1], ErrInFlight), "%v", errs)
		require.ErrorIs(t, o.Send(t.Context(), "server", order), ErrOutcomeUnknown, "the slow answer came after the deadline")
		<-time.After(500 * time.Millisecond)
		w.delay = 0
		require.NoError(t, o.Send(t.Context(), "server", order))
		last := w.engines[0].Stats().Orders
		require.Equal(t, uint64(7)<<32|2, last[len(last)-1].Fence)
	})
}
