// Package follow keeps a process up to date with the control replicas: it keeps
// a call waiting at each of them, and finds new ones by what they tell.
//
// A process follows all replicas and not one of them: any replica may be cut off
// with a heartbeat that only it has received, or behind with the catalogue. What
// they tell is merged by version, so the newest word of any of them counts.
package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
)

const (
	// DefaultWait is how long a replica keeps a call waiting without news. It is
	// also how often it sees a sign of life.
	DefaultWait = time.Second
	// answerSlack is added to the wait before a call counts as lost: the site's
	// longest round trip with a busy processor on both ends.
	replyMargin = time.Second
	// leastWait is the least wait that a call's time limit is reckoned from. The answer to one
	// that is not to be kept waiting may bring a whole catalogue over a slow link.
	minWait = 400 * time.Millisecond
	// retryMin and retryMax bound the pause after a call that failed. The longest
	// pause is a part of the seconds within which a returned replica has to be
	// noticed.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// lookEvery is how often the set of replicas is compared with what is followed.
	reconcileInterval = 250 * time.Millisecond
)

// Config is the settings of a Follower.
type Config struct {
	Self string // own link address, which is not followed; empty at an entry
	Wait time.Duration
	// SingleSource has the catalogue sent by one replica at a time, once there is a first
	// one. It is for processes on thin links.
	SingleSource bool
}

// Deps is what a Follower works with.
type Deps struct {
	Pool *link.Pool
	Log  *slog.Logger
	Now  func() time.Time
	// Request builds a call: everything but what the follower keeps itself.
	Request func() api.WatchRequest
	// Reply takes what a replica told. It is called by one goroutine a replica.
	Reply func(addr string, r api.WatchReply)
	// OnUnreachable, if set, is called when a replica that replied no longer does, or is no
	// longer followed. Of one replica, it and Reply are called one after the other.
	OnUnreachable func(addr string)
	// Seeds returns addresses to begin with, as the settings have them now.
	Seeds func() []string
}

// Follower follows all control replicas. It is safe for concurrent use.
type Follower struct {
	cfg    Config
	deps   Deps
	source catalogueSource

	mu            sync.Mutex
	peers         map[string]*peer
	namedReplicas map[string][]string // replicas named by each one's last reply
}

type peer struct {
	cancel      context.CancelFunc
	wake        chan struct{}
	lastReply   time.Time // of the last reply
	unreachable bool      // the last call failed
}

// New returns a Follower that follows nobody until Run.
func New(cfg Config, deps Deps) *Follower {
	if cfg.Wait <= 0 {
		cfg.Wait = DefaultWait
	}
	return &Follower{cfg: cfg, deps: deps, peers: make(map[string]*peer), namedReplicas: make(map[string][]string)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		f.reconcile(ctx, &wg)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// adjust follows each replica that is known, and lets go of those that nobody
// names any more.
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

// follow calls one replica again and again.
func (f *Follower) followReplica(ctx context.Context, addr string, p *peer) {
	if f.deps.OnUnreachable != nil {
		defer f.deps.OnUnreachable(addr)
	}
	defer f.source.markUnreachable(addr)
	var incarnation, seen, lastRevision uint64
	var sent sentUsage
	replied := false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		req := f.deps.Request()
		req.Incarnation, req.Seen = incarnation, seen
		sent.trimUsage(&req)
		if req.Wait <= 0 {
			req.Wait = f.cfg.Wait
		}
		if replied {
			f.source.observeRevision(addr, lastRevision, req.Lacks(lastRevision), f.deps.Now())
		}
		if send, highestRevision := f.source.shouldSend(addr); f.cfg.SingleSource && req.HasCatalogue && !send {
			req.RevisionOnly, req.NotifiedRevision = true, max(highestRevision, req.Revision)
		}
		sentAt := f.deps.Now()
		reply, err := f.call(ctx, addr, p, req)
		if err == errWoken {
			continue
		}
		f.recordOutcome(ctx, addr, p, err)
		if err != nil {
			f.source.markUnreachable(addr)
			daemon.Pause(ctx, time.Duration((0.5+rand.Float64()/2)*float64(retryDelay)))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		if reply.Incarnation == req.Incarnation || req.Incarnation == 0 {
			sent.record(&req)
		}
		incarnation, seen = reply.Incarnation, reply.Seen
		f.mu.Lock()
		f.namedReplicas[addr] = reply.Replicas
		f.mu.Unlock()
		reply.SentAt = sentAt
		f.deps.Reply(addr, reply)
		lastRevision, replied = reply.Revision, true
	}
}

// errKicked ends a call because the process has something new to tell.
var errWoken = wokenError{}

type wokenError struct{}

func (wokenError) Error() string { return "there is news to send" }

// callLimit is how long a call that is kept waiting for so long may take.
func callTimeout(wait time.Duration) time.Duration { return max(wait, minWait) + replyMargin }

func (f *Follower) call(ctx context.Context, addr string, p *peer, req api.WatchRequest) (api.WatchReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout(req.Wait))
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	woken := make(chan struct{})
	go func() {
		select {
		case <-p.wake:
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

// noteOutcome logs a replica that was lost or came back, once each.
func (f *Follower) recordOutcome(ctx context.Context, addr string, p *peer, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	lastReply, wasUnreachable := p.lastReply, p.unreachable
	p.unreachable = err != nil
	if err == nil {
		p.lastReply = f.deps.Now()
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

// SendNow has every replica told at once of what Request now returns.
func (f *Follower) SendNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// LastReply returns when a replica last replied; zero if never.
func (f *Follower) LastReply(addr string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[addr]; p != nil {
		return p.lastReply
	}
	return time.Time{}
}

// Replicas returns the addresses of all replicas that are followed, in order.
func (f *Follower) Replicas() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.peers))
	for addr := range f.peers {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// CountReplied returns how many of the replicas that are followed replied within age.
func (f *Follower) CountReplied(age time.Duration) (replied, all int) {
	now := f.deps.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if !p.lastReply.IsZero() && now.Sub(p.lastReply) <= age {
			replied++
		}
	}
	return replied, len(f.peers)
}
