package coordinator

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
)

const (
	// holdTimeout bounds how long a server waits for a majority. It is below the second after
	// which the server calls another replica.
	holdTimeout = 700 * time.Millisecond
	// leaveRoundGap is the minimum time between two rounds of calls to the other voters, each with
	// all leaves that have arrived since: a zone's servers leave together.
	leaveRoundGap = 10 * time.Millisecond
	// maxLeaveRounds bounds the rounds for one leave; see leaves.finishHeld.
	maxLeaveRounds = 3
	// leaveRetention is how long a leave that a majority holds is remembered as such: as long as the
	// directory keeps its record.
	leaveRetention = directory.DefaultForgetAfter
)

// The errors of leaves.hold.
var (
	errLeaveNotRecorded = errors.New("the leave is not recorded")
	errNoMajorityHolds  = errors.New("no majority of the replicas holds the leave in time")
	errUnknownStart     = errors.New("the server does not say which start of it has left, and no replica knows one")
)

// leave is a server's announcement that it leaves, or has left.
type leave struct {
	id          string
	incarnation uint64
	stated      bool             // the server has said which incarnation leaves
	before      directory.Server // if not stated: this replica's record before the leave
}

// leaves passes the leaves of backend servers to the other voters, and knows which of them a majority
// holds, on disk. A leave that only one replica holds when it is acknowledged is lost with that replica,
// and one that is in memory only when all processes end; requests then go on reaching the server. It is
// safe for concurrent use.
type leaves struct {
	leavesDeps

	mu        sync.Mutex
	waiting   []*pendingLeave
	scheduled bool // a round will begin
	lastRound time.Time
	held      map[directory.Key]time.Time // when a majority held it
}

// leavesDeps holds the dependencies of leaves.
type leavesDeps struct {
	pool      *link.Pool
	directory *directory.Store
	saver     *sharedWrite // of the servers that have left
	// voters returns the link addresses of the other voters, the number of all voters, and whether
	// this replica is one.
	voters func() (others []string, total int, self bool)
	now    func() time.Time
}

// pendingLeave is a leave whose server waits.
type pendingLeave struct {
	leave
	rounds int
	sent   uint64     // incarnation in the last round
	done   chan error // receives one value
}

func newLeaves(deps leavesDeps) *leaves {
	return &leaves{leavesDeps: deps, held: make(map[directory.Key]time.Time)}
}

// hold returns once a majority of the voters holds a leave that this replica has recorded. done says
// that nothing was left to do: a majority held it before, or the server has started again since.
func (l *leaves) hold(ctx context.Context, x leave) (done bool, err error) {
	rec, known := l.directory.Lookup(x.id, l.now())
	switch {
	case !known:
		return false, errLeaveNotRecorded
	case x.stated && rec.Incarnation > x.incarnation:
		return true, nil
	case rec.State == instance.StateServing:
		return false, errLeaveNotRecorded
	case x.stated && l.isHeld(rec.Key()):
		return true, nil // if it is not stated, another replica may know a later start
	}
	p := &pendingLeave{leave: x, done: make(chan error, 1)}
	l.enqueue(p)
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	select {
	case err := <-p.done:
		return false, err
	case <-ctx.Done():
		return false, errNoMajorityHolds
	}
}

func (l *leaves) isHeld(key directory.Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, held := l.held[key]
	return held
}

// enqueue adds a leave to the next round.
func (l *leaves) enqueue(p *pendingLeave) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, p)
	if l.scheduled {
		return
	}
	l.scheduled = true
	time.AfterFunc(max(l.lastRound.Add(leaveRoundGap).Sub(l.now()), 0), l.round)
}

// round asks the other voters to hold all leaves that wait.
func (l *leaves) round() {
	l.mu.Lock()
	batch := l.waiting
	l.waiting, l.scheduled, l.lastRound = nil, false, l.now()
	l.mu.Unlock()
	others, total, self := l.voters()
	if total == 0 {
		l.finish(batch, errNoMajorityHolds)
		return
	}
	req := l.request(batch)
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	outcomes := make(chan error, len(others)+1)
	var calls sync.WaitGroup
	for _, addr := range others {
		calls.Go(func() { outcomes <- l.callPeer(ctx, addr, req) })
	}
	if self {
		calls.Go(func() { outcomes <- l.saver.save(ctx) })
	}
	go func() {
		calls.Wait()
		cancel()
		close(outcomes)
	}()
	l.finish(batch, awaitMajority(outcomes, total))
}

// awaitMajority returns nil once outcomes has had as many nils as a majority of total, or an error once
// it is closed without.
func awaitMajority(outcomes <-chan error, total int) error {
	var errs []error
	for holders := 0; ; {
		err, open := <-outcomes
		switch {
		case !open:
			return errors.Join(append([]error{errNoMajorityHolds}, errs...)...)
		case err != nil:
			errs = append(errs, err)
			continue
		}
		if holders++; holders > total/2 {
			return nil
		}
	}
}

// request returns the request for a batch of leaves.
func (l *leaves) request(batch []*pendingLeave) api.HoldLeavesRequest {
	var req api.HoldLeavesRequest
	for _, p := range batch {
		p.rounds++
		if rec, known := l.directory.Lookup(p.id, l.now()); known {
			p.sent = rec.Incarnation
			req.Servers = append(req.Servers, rec)
		}
		if !p.stated {
			req.Unstated = append(req.Unstated, p.id)
		}
	}
	return req
}

// callPeer asks another voter to hold leaves, and records what it knows beyond that.
func (l *leaves) callPeer(ctx context.Context, addr string, req api.HoldLeavesRequest) error {
	reply, err := link.Call[api.HoldLeavesReply](ctx, l.pool, addr, api.MethodHoldLeaves, req)
	if err != nil {
		return trace.Wrap(err, "step=hold leaves peer=%s", addr)
	}
	l.directory.Merge(directory.Origin{Replica: addr}, reply.Newer, nil, l.now())
	return nil
}

// finish ends the wait for a batch, of which a majority holds all leaves if err is nil.
func (l *leaves) finish(batch []*pendingLeave, err error) {
	for _, p := range batch {
		if err != nil {
			p.done <- err
			continue
		}
		l.finishHeld(p)
	}
}

// finishHeld ends the wait for a leave that a majority holds. One for which another voter knew a later
// incarnation than this replica goes into a further round: a majority is to hold it for that one.
func (l *leaves) finishHeld(p *pendingLeave) {
	rec, _ := l.directory.Lookup(p.id, l.now())
	switch {
	case !p.stated && rec.Incarnation > p.sent && p.rounds < maxLeaveRounds:
		l.enqueue(p)
	case rec.Unstated:
		p.done <- errUnknownStart
	default:
		l.markHeld(rec.Key())
		p.done <- nil
	}
}

func (l *leaves) markHeld(key directory.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[key] = l.now()
}

// expire forgets which leaves were held long ago.
func (l *leaves) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	maps.DeleteFunc(l.held, func(_ directory.Key, at time.Time) bool { return now.Sub(at) > leaveRetention })
}

// holdForPeer records leaves that another replica has received.
func (l *leaves) holdForPeer(ctx context.Context, from link.PeerInfo, req api.HoldLeavesRequest) (api.HoldLeavesReply, error) {
	now := l.now()
	for _, id := range req.Unstated {
		l.directory.Leave(id, 0, now)
	}
	l.directory.Merge(directory.Origin{Replica: from.Address, Incarnation: from.Incarnation}, req.Servers, nil, now)
	if err := l.saver.save(ctx); err != nil {
		return api.HoldLeavesReply{}, trace.Wrap(err, "step=save leaves")
	}
	var reply api.HoldLeavesReply
	for i := range req.Servers {
		sent := &req.Servers[i]
		if rec, known := l.directory.Lookup(sent.ID, now); known && rec.Incarnation > sent.Incarnation {
			reply.Newer = append(reply.Newer, rec)
		}
	}
	return reply, nil
}
