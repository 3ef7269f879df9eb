// Package follow keeps a process up to date with the control replicas. It holds a
// long-polling call open at each replica and discovers replicas from the replies.
//
// A process follows all replicas because any single one may have an outdated catalogue,
// or may be partitioned while it holds a heartbeat that no other replica has received.
// The caller merges the replies by version, so that the newest record wins.
package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/suspect"
)

const (
	// DefaultWait is how long a replica holds a call open when nothing has changed. It is
	// also the interval at which the replica receives a heartbeat of this process.
	DefaultWait = time.Second
	// replyMargin is added to the wait of a call to obtain its timeout. It covers the
	// longest round trip of the site with a busy processor at both ends.
	replyMargin = time.Second
	// completeReplyMargin takes the place of replyMargin for a reply with all that a replica
	// knows. After a start hundreds of processes request one at once; a reply that comes after
	// the timeout would be requested again for ever. A silent replica is noticed by the
	// heartbeats of the link.
	completeReplyMargin = 5 * time.Second
	// minWait is the shortest wait from which the timeout of a call is computed. Even a call
	// that returns at once may bring a whole catalogue over a slow link.
	minWait = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The maximum
	// limits how long a recovered replica stays undetected.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// shortWait is the wait of a call while no replica sends complete records, or while
	// records are missing.
	shortWait = 200 * time.Millisecond
	// promptWait is the wait of a call that is to return at once.
	promptWait = time.Millisecond
	// reconcileInterval is the interval at which the seeds are read again. Replicas that a
	// reply names are followed, and others no longer, at once.
	reconcileInterval = time.Second
)

// Config holds the settings of a Follower.
type Config struct {
	Self string // own link address, which is not followed; empty at an entry
	// Wait is how long a replica that sends complete records may hold a call open;
	// DefaultWait if not positive.
	Wait time.Duration
	// SingleSource makes only one replica at a time send complete records, and fetches the
	// catalogue in parts. It is for processes on slow links, and for those of which there are
	// hundreds.
	SingleSource bool
	Zone         string // own zone, in which SingleSource prefers a replica
}

// Deps holds the dependencies of a Follower.
type Deps struct {
	Pool *link.Pool
	Log  *slog.Logger
	Now  func() time.Time
	// Request returns the next request to send. The follower sets Incarnation, RolloutsVersion, Seen, Detail,
	// Missing, NoDocument, RevisionOnly and NotifiedRevision, shortens Wait or sets it if it is not
	// positive, and removes usage that the replica already has.
	Request func() api.WatchRequest
	// Reply handles a reply of the replica at addr. Each replica has its own goroutine, so
	// calls for different replicas may be concurrent.
	Reply func(addr string, r api.WatchReply)
	// Catalogue handles a catalogue, in ascending order of revisions. It is called instead of
	// sending one with a reply if Config.SingleSource is set.
	Catalogue func(addr string, revision uint64, document []byte)
	// OnUnreachable, if set, is called when calls to a replica begin to fail and when the
	// replica is no longer followed. For one replica, it is never concurrent with Reply.
	OnUnreachable func(addr string)
	// Missing, if set, returns the servers on which a replica has reported and whose records
	// the process lacks.
	Missing func(addr string) []directory.Key
	// BrokenOff, if set, returns the records of requests that broke off which changed after a
	// version, and the version to pass to the next call.
	BrokenOff func(since uint64) ([]suspect.Record, uint64)
	// Seeds returns the configured addresses of replicas. It is called repeatedly, so the
	// result may change.
	Seeds func() []string
}

// Follower follows all control replicas. It is safe for concurrent use.
type Follower struct {
	cfg    Config
	deps   Deps
	source recordSource
	fetch  *catalogueFetch

	prompts     atomic.Uint64 // number of calls of Prompt
	haveRecords atomic.Bool   // a replica has sent complete records
	renamed     chan struct{} // receives a value after a replica has named other replicas than before

	mu            sync.Mutex
	peers         map[string]*peer
	namedReplicas map[string][]string // addresses in the last reply of each replica, by its address
}

// peer is a replica that is followed.
type peer struct {
	cancel      context.CancelFunc
	wake        chan struct{} // interrupts the open call
	firstReply  time.Time     // zero before it
	lastReply   time.Time     // zero before the first reply
	unreachable bool          // the last call failed
	prompts     uint64        // calls of Prompt before the request that was answered last was made
}

// discardWake forgets that the open call was to be interrupted.
func (p *peer) discardWake() {
	select {
	case <-p.wake:
	default:
	}
}

// New returns a Follower that makes no calls until Run.
func New(cfg Config, deps Deps) *Follower {
	if cfg.Wait <= 0 {
		cfg.Wait = DefaultWait
	}
	f := &Follower{cfg: cfg, deps: deps, peers: make(map[string]*peer), namedReplicas: make(map[string][]string), renamed: make(chan struct{}, 1), fetch: newCatalogueFetch()}
	f.source = recordSource{zone: cfg.Zone, vacantSince: deps.Now()}
	return f
}

// Run follows the replicas until ctx is done, and returns its error after all calls have ended.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	if f.cfg.SingleSource {
		wg.Go(func() { f.fetchCatalogues(ctx) })
	}
	for {
		f.reconcile(ctx, &wg)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.renamed:
		case <-tick.C:
		}
	}
}

// recordNames records the replicas that a reply names.
func (f *Follower) recordNames(addr string, names []string) {
	slices.Sort(names)
	f.mu.Lock()
	changed := !slices.Equal(f.namedReplicas[addr], names)
	f.namedReplicas[addr] = names
	f.mu.Unlock()
	if !changed {
		return
	}
	select {
	case f.renamed <- struct{}{}:
	default:
	}
}

// reconcile starts a goroutine for each replica that is not followed yet and cancels those
// of replicas that neither the seeds nor any reply name any more.
func (f *Follower) reconcile(ctx context.Context, wg *sync.WaitGroup) {
	wanted := f.wantedReplicas()
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr := range wanted {
		if f.peers[addr] != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		p := &peer{cancel: cancel, wake: make(chan struct{}, 1)}
		f.peers[addr] = p
		wg.Go(func() { f.followReplica(peerCtx, addr, p) })
	}
	for addr, p := range f.peers {
		if !wanted[addr] {
			p.cancel()
			delete(f.peers, addr)
			delete(f.namedReplicas, addr)
		}
	}
}

// wantedReplicas returns the addresses of the seeds and of all replicas named in replies,
// without this process.
func (f *Follower) wantedReplicas() map[string]bool {
	wanted := make(map[string]bool)
	for _, addr := range f.deps.Seeds() {
		wanted[addr] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range f.namedReplicas {
		for _, addr := range list {
			wanted[addr] = true
		}
	}
	delete(wanted, f.cfg.Self)
	delete(wanted, "")
	return wanted
}

// followReplica calls one replica repeatedly until ctx is done.
func (f *Follower) followReplica(ctx context.Context, addr string, p *peer) {
	if f.deps.OnUnreachable != nil {
		defer f.deps.OnUnreachable(addr)
	}
	defer func() { f.source.forget(addr, f.deps.Now()) }()
	var incarnation, rolloutsVersion uint64
	var seen seenChanges
	var sent sentUsage
	var suspects suspectState
	prompts := f.prompts.Load()
	retryDelay := minRetryDelay
	interrupted := false
	for ctx.Err() == nil {
		p.discardWake() // what it announces is part of the request that follows
		promptsBefore := f.prompts.Load()
		req := f.deps.Request()
		req.Incarnation, req.RolloutsVersion = incarnation, rolloutsVersion
		sent.trimUsage(&req)
		suspects.prepare(&req, f.deps.BrokenOff)
		if req.Wait <= 0 {
			req.Wait = f.cfg.Wait
		}
		f.setDetail(&req, addr, &seen)
		if n := f.prompts.Load(); n != prompts {
			prompts, req.Wait = n, promptWait
		}
		if interrupted {
			req.Wait = promptWait
		}
		sentAt := f.deps.Now()
		reply, err := f.call(ctx, addr, p, req, !interrupted)
		interrupted = err == errWoken
		if interrupted {
			continue
		}
		f.recordOutcome(ctx, addr, p, err)
		if err != nil {
			f.source.markUnreachable(addr, f.deps.Now())
			daemon.Pause(ctx, time.Duration((0.5+rand.Float64()/2)*float64(retryDelay)))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		packed, err := reply.Packed.Unpack()
		if err != nil {
			f.recordOutcome(ctx, addr, p, trace.Wrap(err, "peer=%s", addr))
			daemon.Pause(ctx, maxRetryDelay)
			continue
		}
		reply.Servers = append(reply.Servers, packed...)
		retryDelay = minRetryDelay
		if reply.Incarnation == req.Incarnation || req.Incarnation == 0 {
			sent.record(&req)
			suspects.record(&reply)
			f.recordAnswered(p, promptsBefore)
		}
		incarnation, rolloutsVersion = reply.Incarnation, reply.RolloutsVersion
		seen.record(req.Detail, reply.Seen)
		f.source.observeZone(addr, reply.Zone)
		if f.source.observeRevision(addr, reply.Revision, f.deps.Now()) {
			f.fetch.notify()
		}
		f.recordNames(addr, reply.Replicas)
		reply.SentAt = sentAt
		f.deps.Reply(addr, reply)
		if req.Detail == api.DetailRecords {
			f.haveRecords.Store(true)
		}
	}
}

// errWoken reports that SendNow interrupted a call, so that a new request is sent.
var errWoken = wokenError{}

type wokenError struct{}

func (wokenError) Error() string { return "call interrupted by a newer request" }

// callTimeout returns the timeout of a call that the replica may hold open for wait. all says
// that the reply contains everything that the replica knows.
func callTimeout(wait time.Duration, all bool) time.Duration {
	if all {
		return max(wait, minWait) + completeReplyMargin
	}
	return max(wait, minWait) + replyMargin
}

// call sends req and returns the reply, or errWoken if SendNow interrupted the call. The call after an
// interrupted one is not interruptible: where replies take longer than the time between two calls of
// SendNow, none would ever arrive.
func (f *Follower) call(ctx context.Context, addr string, p *peer, req api.WatchRequest, interruptible bool) (api.WatchReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout(req.Wait, req.Seen == 0))
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	woken := make(chan struct{})
	wake := p.wake
	if !interruptible {
		wake = nil
	}
	go func() {
		select {
		case <-wake:
			close(woken)
			cancel()
		case <-done:
		}
	}()
	reply, err := link.Call[api.WatchReply](callCtx, f.deps.Pool, addr, api.MethodWatch, req)
	select {
	case <-woken:
		if err != nil {
			return reply, errWoken
		}
	default:
	}
	return reply, err
}

// recordOutcome records whether a call succeeded. It logs when a replica becomes unreachable
// and when it first replies or replies again, and calls OnUnreachable.
func (f *Follower) recordOutcome(ctx context.Context, addr string, p *peer, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	lastReply, wasUnreachable := p.lastReply, p.unreachable
	p.unreachable = err != nil
	if err == nil {
		p.lastReply = f.deps.Now()
		if p.firstReply.IsZero() {
			p.firstReply = p.lastReply
		}
	}
	f.mu.Unlock()
	switch {
	case err != nil && !wasUnreachable:
		if f.deps.OnUnreachable != nil {
			f.deps.OnUnreachable(addr)
		}
		event.Log(ctx, f.deps.Log, slog.LevelWarn, event.ReplicaLost,
			slog.String("peer", addr), slog.Time("lastReply", lastReply), slog.String("error", err.Error()))
	case err == nil && (wasUnreachable || lastReply.IsZero()):
		event.Log(ctx, f.deps.Log, slog.LevelInfo, event.ReplicaRegained, slog.String("peer", addr), slog.Time("lastReply", lastReply))
	}
}
