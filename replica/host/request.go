package host

import (
	"context"
	"sync/atomic"

	"savoryreel.example/savoryreel/replica"
)

// outcome is the result of a request.
type outcome struct {
	result any
	err    error
}

// The states of a request. Either the loop claims a queued request or its caller
// abandons it, never both; so a caller that gives up can determine whether its
// proposal may have been appended.
const (
	requestQueued int32 = iota
	requestClaimed
	requestAbandoned
)

// request is a call that waits for the loop.
type request struct {
	state atomic.Int32
	done  chan outcome // capacity 1, so that the loop never blocks
}

func newRequest() request { return request{done: make(chan outcome, 1)} }

// claim reports whether the loop may handle the request; if not, the caller has
// abandoned it.
func (r *request) claim() bool { return r.state.CompareAndSwap(requestQueued, requestClaimed) }

func (r *request) abandon() bool { return r.state.CompareAndSwap(requestQueued, requestAbandoned) }

// wait returns the outcome. If ctx ends before the loop has claimed the request,
// wait returns the context's error; if it ends later, errIfClaimed unless that is
// nil.
func (r *request) wait(ctx context.Context, stopped <-chan struct{}, errIfClaimed error) (any, error) {
	select {
	case o := <-r.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, r.giveUp(ctx.Err(), errIfClaimed)
	case <-stopped:
		return r.outcomeAfterStop()
	}
}

func (r *request) giveUp(ctxErr, errIfClaimed error) error {
	if r.abandon() || errIfClaimed == nil {
		return ctxErr
	}
	return errIfClaimed
}

// outcomeAfterStop returns the outcome after the loop has stopped. By then the loop
// has finished every request that it claimed.
func (r *request) outcomeAfterStop() (any, error) {
	if r.abandon() {
		return nil, ErrStopped
	}
	o := <-r.done
	return o.result, o.err
}

// pendingProposals counts the proposals that are queued or appended, and the bytes
// of their data.
type pendingProposals struct {
	count atomic.Int64
	bytes atomic.Int64
}

// reserve adds a proposal of size bytes and reports whether the total is within the
// limits of cfg. The caller must call release in either case.
func (p *pendingProposals) reserve(size int, cfg Config) bool {
	count := p.count.Add(1)
	bytes := p.bytes.Add(int64(size))
	return count <= int64(cfg.MaxPending) && bytes <= int64(cfg.MaxPendingBytes)
}

func (p *pendingProposals) release(size int) {
	p.count.Add(-1)
	p.bytes.Add(-int64(size))
}

// proposal is a request to append an entry.
type proposal struct {
	request
	kind uint8
	data []byte
}

// command is a membership change if change is set, a leadership transfer if transfer
// is set, and a read barrier otherwise.
type command struct {
	request
	change   *replica.Change
	transfer uint64 // ID of the target; 0: none
}
