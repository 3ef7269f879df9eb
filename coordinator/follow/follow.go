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
	answerSlack = time.Second
	// leastWait is the least wait that a call's time limit is reckoned from. The answer to one
	// that is not to be kept waiting may bring a whole catalogue over a slow link.
	leastWait = 400 * time.Millisecond
	// retryMin and retryMax bound the pause after a call that failed. The longest
	// pause is a part of the seconds within which a returned replica has to be
	// noticed.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// lookEvery is how often the set of replicas is compared with what is followed.
	lookEvery = 250 * time.Millisecond
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
	source source

	mu    sync.Mutex
	peers map[string]*peer
	told  map[string][]string // replicas named by each one's last reply
}

type peer struct {
	cancel    context.CancelFunc
	kick      chan struct{}
	contacted time.Time // of the last reply
	lost      bool      // the last call failed
}

// New returns a Follower that follows nobody until Run.
func New(cfg Config, deps Deps) *Follower {
	if cfg.Wait <= 0 {
		cfg.Wait = DefaultWait
	}
	return &Follower{cfg: cfg, deps: deps, peers: make(map[string]*peer), told: make(map[string][]string)}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var work sync.WaitGroup
	defer work.Wait()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		f.adjust(ctx, &work)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// adjust follows each replica that is known, and lets go of those that nobody
// names any more.
func (f *Follower) adjust(ctx context.Context, work *sync.WaitGroup) {
	wanted := f.wanted()
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr := range wanted {
		if f.peers[addr] != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		p := &peer{cancel: cancel, kick: make(chan struct{}, 1)}
		f.peers[addr] = p
		work.Go(func() { f.follow(peerCtx, addr, p) })
	}
	for addr, p := range f.peers {
		if !wanted[addr] {
			p.cancel()
			delete(f.peers, addr)
			delete(f.told, addr)
		}
	}
}

func (f *Follower) wanted() map[string]bool {
	wanted := make(map[string]bool)
	for _, addr := range f.deps.Seeds() {
		wanted[addr] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range f.told {
		for _, addr := range list {
			wanted[addr] = true
		}
	}
	delete(wanted, f.cfg.Self)
	delete(wanted, "")
	return wanted
}

// follow calls one replica again and again.
func (f *Follower) follow(ctx context.Context, addr string, p *peer) {
	if f.deps.OnUnreachable != nil {
		defer f.deps.OnUnreachable(addr)
	}
	defer f.source.lost(addr)
	var life, seen, told uint64
	var said said
	replied := false
	pause := retryMin
	for ctx.Err() == nil {
		req := f.deps.Request()
		req.Incarnation, req.Seen = life, seen
		said.trim(&req)
		if req.Wait <= 0 {
			req.Wait = f.cfg.Wait
		}
		if replied {
			f.source.note(addr, told, req.Lacks(told), f.deps.Now())
		}
		if send, known := f.source.asks(addr); f.cfg.SingleSource && req.HasCatalogue && !send {
			req.RevisionOnly, req.NotifiedRevision = true, max(known, req.Revision)
		}
		asked := f.deps.Now()
		reply, err := f.call(ctx, addr, p, req)
		if err == errKicked {
			continue
		}
		f.noteOutcome(ctx, addr, p, err)
		if err != nil {
			f.source.lost(addr)
			daemon.Pause(ctx, time.Duration((0.5+rand.Float64()/2)*float64(pause)))
			pause = min(2*pause, retryMax)
			continue
		}
		pause = retryMin
		if reply.Incarnation == req.Incarnation || req.Incarnation == 0 {
			said.note(&req)
		}
		life, seen = reply.Incarnation, reply.Seen
		f.mu.Lock()
		f.told[addr] = reply.Replicas
		f.mu.Unlock()
		reply.Asked = asked
		f.deps.Reply(addr, reply)
		told, replied = reply.Revision, true
	}
}

// errKicked ends a call because the process has something new to tell.
var errKicked = kicked{}

type kicked struct{}

func (kicked) Error() string { return "there is news to send" }

// callLimit is how long a call that is kept waiting for so long may take.
func callLimit(wait time.Duration) time.Duration { return max(wait, leastWait) + answerSlack }

func (f *Follower) call(ctx context.Context, addr string, p *peer, req api.WatchRequest) (api.WatchReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callLimit(req.Wait))
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	wasKicked := make(chan struct{})
	go func() {
		select {
		case <-p.kick:
			close(wasKicked)
			cancel()
		case <-done:
		}
	}()
	reply, err := link.Call[api.WatchReply](callCtx, f.deps.Pool, addr, api.MethodWatch, req)
	select {
	case <-wasKicked:
		if err != nil {
			return reply, errKicked
		}
	default:
	}
	return reply, err
}

// noteOutcome logs a replica that was lost or came back, once each.
func (f *Follower) noteOutcome(ctx context.Context, addr string, p *peer, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	last, wasLost := p.contacted, p.lost
	p.lost = err != nil
	if err == nil {
		p.contacted = f.deps.Now()
	}
	f.mu.Unlock()
	switch {
	case err != nil && !wasLost:
		if f.deps.OnUnreachable != nil {
			f.deps.OnUnreachable(addr)
		}
		event.Log(ctx, f.deps.Log, slog.LevelWarn, event.ReplicaLost,
			slog.String("peer", addr), slog.Time("lastReply", last), slog.String("error", err.Error()))
	case err == nil && (wasLost || last.IsZero()):
		event.Log(ctx, f.deps.Log, slog.LevelInfo, event.ReplicaRegained, slog.String("peer", addr), slog.Time("lastReply", last))
	}
}

// SendNow has every replica told at once of what Request now returns.
func (f *Follower) SendNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		select {
		case p.kick <- struct{}{}:
		default:
		}
	}
}

// LastReply returns when a replica last replied; zero if never.
func (f *Follower) LastReply(addr string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[addr]; p != nil {
		return p.contacted
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
		if !p.contacted.IsZero() && now.Sub(p.contacted) <= age {
			replied++
		}
	}
	return replied, len(f.peers)
}
