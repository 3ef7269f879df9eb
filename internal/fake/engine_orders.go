package fake

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"savoryreel.example/savoryreel/native"
)

// orderLog records the accepted orders and the highest fencing number.
type orderLog struct {
	mu           sync.Mutex
	checksFences bool
	highestFence uint64
	orders       []native.Order
}

func newOrderLog(checksFences bool) *orderLog { return &orderLog{checksFences: checksFences} }

// accept records the order and reports whether it may be executed. An engine that
// checks fences rejects a lower fencing number than the highest received: the
// order comes from a leader that has been replaced.
func (b *orderLog) accept(o native.Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.checksFences && o.Fence < b.highestFence {
		return false
	}
	b.highestFence = max(b.highestFence, o.Fence)
	b.orders = append(b.orders, o)
	return true
}

func (b *orderLog) accepted() []native.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orders)
}

// serveOrder answers 202 for an order that is executed or queued, 409 for an old
// fencing number and 400 for an order that can't be executed.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o native.Order
	if !readJSON(w, r, maxSmallBodyBytes, &o) {
		return
	}
	if !e.orders.accept(o) {
		refuse(w, http.StatusConflict, 0, "old_fence", "a higher fencing number was seen")
		return
	}
	if !e.execute(o) {
		refuse(w, http.StatusBadRequest, 0, "unknown_order", string(o.Kind))
		return
	}
	writeJSON(w, http.StatusAccepted, o)
}

// execute executes an order. It returns false if the kind is unknown or the queue
// of model loads is full. Models load asynchronously; announcements show the new
// model once it is loaded.
func (e *Engine) execute(o native.Order) bool {
	switch o.Kind {
	case native.OrderLoadModel:
		return e.enqueueLoad(o)
	case native.OrderLoadAdapter:
		e.updateModel(func(m *modelState) { m.adapters = withAdapter(m.adapters, o.Adapter) })
	case native.OrderRole:
		e.updateModel(func(m *modelState) { m.role = o.Role })
	case native.OrderLeave:
		e.Leave(e.cfg.Notice)
	default:
		return false
	}
	return true
}

// enqueueLoad queues a model for runLoads and reports whether there was room.
func (e *Engine) enqueueLoad(o native.Order) bool {
	select {
	case e.loadOrders <- o:
		return true
	default:
		return false
	}
}

// runLoads loads the queued models one at a time until ctx ends.
func (e *Engine) runLoads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-e.loadOrders:
			e.loadModel(ctx, o)
		}
	}
}

func (e *Engine) loadModel(ctx context.Context, o native.Order) {
	if err := e.fetchWeights(ctx, o); err != nil {
		e.deps.Log.Warn("model not loaded", "model", o.Model, "version", o.Version, "error", err)
		return
	}
	e.updateModel(func(m *modelState) {
		m.name = o.Model
		m.version = o.Version
	})
}

// fetchWeights reads the weights, and retries after the delay that the store
// requests by Retry-After.
func (e *Engine) fetchWeights(ctx context.Context, o native.Order) error {
	if e.cfg.Store == "" {
		return nil
	}
	for {
		_, err := e.store.Fetch(ctx, e.cfg.Store, o.Model, o.Version)
		delay, retryable := native.RetryAfter(err)
		if !retryable {
			return err
		}
		if err := sleep(ctx, e.faults, delay); err != nil {
			return err
		}
	}
}

// withAdapter returns adapters with name added. It never modifies adapters, which
// announcements still refer to.
func withAdapter(adapters []string, name string) []string {
	if slices.Contains(adapters, name) {
		return adapters
	}
	return append(slices.Clone(adapters), name)
}

func (e *Engine) updateModel(f func(*modelState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.model)
}
