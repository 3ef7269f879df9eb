package entry

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/link"
)

// methodOwner asks the entry that owns a ledger record whether the request still runs there.
const methodOwner = "entry.owner"

// ownerTimeout bounds one such call.
const ownerTimeout = time.Second

// onceCalls is the set of at-most-once requests that run on this entry or whose end the
// ledger has not committed yet.
type onceCalls struct {
	mu   sync.Mutex
	uses map[string]int // number of uses by request id
}

func newOnceCalls() *onceCalls { return &onceCalls{uses: map[string]int{}} }

func (o *onceCalls) add(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.uses[id]++
}

func (o *onceCalls) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.uses[id]--; o.uses[id] <= 0 {
		delete(o.uses, id)
	}
}

func (o *onceCalls) has(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.uses[id] > 0
}

func (o *onceCalls) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.uses)
}

// ownerRequest carries the record that is checked.
type ownerRequest struct {
	Record ledger.Record `msgpack:"r"`
}

// ownerReply reports whether the request may still run.
type ownerReply struct {
	Running bool `msgpack:"run"`
}

// handleOwner reports whether a request still runs here, and releases the record of one that
// never ran. Such a record names this incarnation, although the request is not in onceCalls:
// its OpBegin was delayed, for example by a frozen replica, and committed after its
// OpRelease. If the record stayed, every resend of the request would wait until its
// deadline.
func (e *Entry) handleOwner(ctx context.Context, _ link.PeerInfo, q ownerRequest) (ownerReply, error) {
	r := q.Record
	if r.Owner != e.ledgerOwner() || e.onceCalls.has(r.RequestID) {
		return ownerReply{Running: true}, nil
	}
	_, err := e.ledger.Ledger(ctx, ledger.Command{
		Op: ledger.OpRelease, Key: r.Key, Fingerprint: r.Fingerprint, RequestID: r.RequestID, Owner: r.Owner,
	})
	return ownerReply{}, err
}

// checkOwner calls handleOwner at the owner of a record. Errors are ignored, since
// waitForFirstArrival calls checkOwner again.
func (e *Entry) checkOwner(ctx context.Context, r *ledger.Record) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	q := ownerRequest{Record: *r}
	if r.Owner == e.ledgerOwner() {
		_, _ = e.handleOwner(ctx, link.PeerInfo{}, q) // repeated at the next check
		return
	}
	if m, known := e.members.View().Member(r.Owner.Entry); known {
		_, _ = link.Call[ownerReply](ctx, e.pool, m.LinkAddress, methodOwner, q) // repeated at the next check
	}
}

// ownerEnded reports whether the incarnation of the entry that owns a record has ended.
func (e *Entry) ownerEnded(o ledger.Owner) bool {
	if o.Entry == e.cfg.ID {
		return o.Incarnation != e.incarnation
	}
	m, known := e.members.View().Member(o.Entry)
	return known && (m.Incarnation > o.Incarnation || m.State == instance.StateGone)
}
