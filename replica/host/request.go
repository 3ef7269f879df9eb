package host

import (
	"context"
	"sync/atomic"

	"savoryreel.example/savoryreel/replica"
)

// outcome ends a request.
type outcome struct {
	result any
	err    error
}

// The states of a request. Exactly one of the caller, who gives up, and the
// loop, which takes it on, moves it out of requestQueued; so a caller that gives
// up knows whether its proposal was appended.
const (
	requestQueued int32 = iota
	requestClaimed
	requestAbandoned
)

// request is a caller waiting for the loop.
type request struct {
	state atomic.Int32
	done  chan outcome // room for one
}

func newRequest() request { return request{done: make(chan outcome, 1)} }

// take claims the request for the loop; false means that the caller has gone.
func (r *request) claim() bool { return r.state.CompareAndSwap(requestQueued, requestClaimed) }

func (r *request) abandon() bool { return r.state.CompareAndSwap(requestQueued, requestAbandoned) }

// wait returns the outcome. A caller that leaves before the loop took the
// request on gets the context's error; one that leaves later gets late, if set.
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

// afterStop runs when the loop has ended, after it finished all that it took on.
func (r *request) outcomeAfterStop() (any, error) {
	if r.abandon() {
		return nil, ErrStopped
	}
	o := <-r.done
	return o.result, o.err
}

// pending counts the proposals queued or appended, and their data.
type pendingProposals struct {
	count atomic.Int64
	bytes atomic.Int64
}

// enter adds a proposal and reports whether it is within the bounds. leave must
// follow either way.
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

// command is a request that the loop handles by itself: a membership change, a
// transfer or a read.
type command struct {
	request
	change   *replica.Change
	transfer uint64 // target; 0: none
}
