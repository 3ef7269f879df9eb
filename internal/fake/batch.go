package fake

import (
	"container/heap"
	"context"
	"sync"
)

// batch is an engine's continuous batch: a fixed number of slots and a bounded
// queue. A free slot goes to the waiting request with the lowest priority
// number, and among equals to the one that arrived first.
type batch struct {
	mu         sync.Mutex
	slots      int
	maxWaiting int
	running    int
	arrivals   uint64
	waiting    ticketHeap
}

// ticket is one request's slot or place in the queue.
type ticket struct {
	priority int
	arrival  uint64
	index    int           // in the heap; -1 if not waiting
	granted  chan struct{} // closed when the request gets a slot
}

func newBatch(slots, maxWaiting int) *batch {
	return &batch{slots: slots, maxWaiting: maxWaiting}
}

// reserve returns a ticket, or nil when the queue is full. Each ticket must be
// passed to release.
func (b *batch) reserve(priority int) *ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	t := &ticket{priority: priority, arrival: b.arrivals, index: -1, granted: make(chan struct{})}
	if b.running < b.slots {
		b.running++
		close(t.granted)
		return t
	}
	if len(b.waiting) >= b.maxWaiting {
		return nil
	}
	heap.Push(&b.waiting, t)
	return t
}

// wait returns nil once t has a slot, or the context's error.
func (t *ticket) wait(ctx context.Context) error {
	select {
	case <-t.granted:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release removes a ticket that has a slot or is still waiting. A slot that
// becomes free goes to the next waiting ticket.
func (b *batch) release(t *ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.index >= 0 {
		heap.Remove(&b.waiting, t.index)
		return
	}
	b.running--
	if len(b.waiting) == 0 {
		return
	}
	next, _ := heap.Pop(&b.waiting).(*ticket)
	b.running++
	close(next.granted)
}

func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// ticketHeap implements heap.Interface, ordered by priority, then arrival.
type ticketHeap []*ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by container/heap only.
func (h *ticketHeap) Push(x any) {
	t, _ := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is called by container/heap only.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
