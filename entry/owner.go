package entry

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/link"
)

// methodOwner asks an entry whether it still runs a once-only request.
const methodOwner = "entry.owner"

// ownerTimeout bounds that question.
const ownerTimeout = time.Second

// onces is the set of once-only requests that this entry runs, or whose end it
// has yet to tell the ledger.
type onceCalls struct {
	mu   sync.Mutex
	uses map[string]int // by request id; the uses of each
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

// ownerRequest names the record in question.
type ownerRequest struct {
	Record ledger.Record `msgpack:"r"`
}

// ownerReply says whether the request still runs there.
type ownerReply struct {
	Running bool `msgpack:"run"`
}

// answerOwner answers another entry's question about a record that this entry
// owns. A record that names this life of this entry although it neither runs
// the request nor has its end to tell is what remains when a command to begin
// was held up on its way, by a frozen replica, until after the command to
// release had passed it. The request never ran. Left alone, such a record would
// keep its key for good and each resend of the caller would wait in vain.
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

// askOwner has the owner of a record look after it. An owner that cannot be
// reached is asked again at the next look.
func (e *Entry) checkOwner(ctx context.Context, r *ledger.Record) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	q := ownerRequest{Record: *r}
	if r.Owner == e.ledgerOwner() {
		_, _ = e.handleOwner(ctx, link.PeerInfo{}, q) // asked again at the next look
		return
	}
	if m, known := e.members.View().Member(r.Owner.Entry); known {
		_, _ = link.Call[ownerReply](ctx, e.pool, m.LinkAddress, methodOwner, q) // asked again at the next look
	}
}

// ownerGone reports whether the entry life that owns a record is over.
func (e *Entry) ownerEnded(o ledger.Owner) bool {
	if o.Entry == e.cfg.ID {
		return o.Incarnation != e.incarnation
	}
	m, known := e.members.View().Member(o.Entry)
	return known && (m.Incarnation > o.Incarnation || m.State == instance.StateGone)
}
