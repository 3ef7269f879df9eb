package entry

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/request"
)

// Links between entries for requests under suspicion.
const (
	methodQuarantineAdmit  = "entry.quarantine.ask"
	methodQuarantineReport = "entry.quarantine.tell"
)

// Periods of the quarantine.
const (
	// quarantineOwnerTimeout bounds the question to the owner of a fingerprint. It is far
	// above a round trip within a region, and far below the first-token target.
	quarantineOwnerTimeout = 150 * time.Millisecond
	// suspectRetryInterval is how often a suspect that has to wait asks again.
	suspectRetryInterval     = 50 * time.Millisecond
	quarantineExpireInterval = time.Minute
)

// guard keeps this entry's part of the quarantine: which requests are under
// suspicion, and where they may run.
type guard struct {
	entry *Entry
	log   *slog.Logger
	now   func() time.Time

	mu             sync.Mutex
	set            *quarantine.Set
	appliedVersion uint64                       // version of set of which the lanes know the servers to avoid
	viewsBuiltAt   time.Time                    // when views were built
	viewsStale     bool                         // an entry or a server came or went since views were built
	views          map[laneKey]*quarantine.View // who owns what, of each pool: a trial needs a server that can run the request
	servers        map[string]observedServer    // backend servers by id
}

// observedServer is how a backend server was last seen.
type observedServer struct {
	incarnation uint64
	serving     bool
}

func newGuard(e *Entry) (*guard, error) {
	set, err := quarantine.New(quarantine.DefaultConfig())
	if err != nil {
		return nil, err
	}
	return &guard{
		entry: e, log: e.deps.Log, now: e.deps.Now, set: set,
		views: map[laneKey]*quarantine.View{}, servers: map[string]observedServer{},
	}, nil
}

func (q *guard) register(s *link.Server) {
	link.Handle(s, methodQuarantineAdmit, q.handleAdmit)
	link.HandleNotice(s, methodQuarantineReport, func(_ context.Context, _ link.PeerInfo, r quarantine.Record) { q.merge(r) })
}

// serverChanged notes how a server is seen now. One that was serving and is gone,
// or is back under a new incarnation, crashed: it said nothing of leaving. The
// entry that ran a request there may be lost too, and then only this tells.
func (q *guard) serverChanged(s *instance.Server) {
	q.mu.Lock()
	previous, known := q.servers[s.ID]
	q.servers[s.ID] = observedServer{incarnation: s.Incarnation, serving: s.State == instance.StateServing}
	if s.State == instance.StateGone {
		delete(q.servers, s.ID)
	}
	q.mu.Unlock()
	ended := s.State == instance.StateGone || s.Incarnation > previous.incarnation
	if known && previous.serving && ended {
		q.serverCrashed(quarantine.Server{ID: s.ID, Incarnation: previous.incarnation})
	}
}

// checkGrant decides whether a request may be sent to the server that it was
// granted. It may wait, come back with a grant for another server, or return
// the request's final problem. Nothing has been sent when it returns.
func (q *guard) checkGrant(ctx context.Context, t *ticket, g *grant) (*grant, error) {
	fingerprint := t.request.Fingerprint()
	for {
		v := q.decide(ctx, t.lane.key, fingerprint, g.server())
		switch v.Action {
		case quarantine.ActionRefuse:
			g.cancelled()
			q.entry.metrics.quarantined.Inc()
			event.Log(ctx, q.log, slog.LevelWarn, event.Quarantined,
				slog.String("request", string(t.request.ID)), slog.String("workspace", t.request.Workspace),
				slog.String("fingerprint", strconv.FormatUint(fingerprint, 16)), slog.Time("until", v.Until))
			return nil, request.NewProblem(request.CodeQuarantined, request.NotRun,
				"backend servers stopped while they ran this request; it is refused until %s", v.Until.UTC().Format(time.RFC3339))
		case quarantine.ActionRun:
			if moved, ok := t.lane.exchangeGrant(t, g, v.Server); ok {
				moved.quarantineRun = q.start(fingerprint, v)
				return moved, nil
			}
			q.end(t.lane.key, q.start(fingerprint, v)) // the granted server has gone: give the grant back
		default:
			g.cancelled()
		}
		event.Log(ctx, q.log, slog.LevelInfo, event.SuspectHeld,
			slog.String("request", string(t.request.ID)), slog.String("reason", v.Reason.String()))
		var err error
		if g, err = q.waitForGrant(ctx, t); err != nil {
			return nil, err
		}
	}
}

// waitForGrant waits a while and grants a server anew.
func (q *guard) waitForGrant(ctx context.Context, t *ticket) (*grant, error) {
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(suspectRetryInterval):
		}
		if g, ok := t.lane.regrant(t); ok {
			return g, nil
		}
	}
}

func (q *guard) start(fingerprint uint64, v quarantine.Verdict) quarantine.Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Start(fingerprint, v)
}

// finish notes that a run ended with a whole answer.
func (q *guard) finish(key laneKey, r quarantine.Run) {
	q.mu.Lock()
	record := q.set.Finish(r, q.now())
	q.mu.Unlock()
	q.reportRun(key, r, record)
}

// end notes that a run ended otherwise on a server that lives, or that leaves
// as announced.
func (q *guard) end(key laneKey, r quarantine.Run) {
	q.mu.Lock()
	record := q.set.End(r, q.now())
	q.mu.Unlock()
	q.reportRun(key, r, record)
}

// reportRun gives the news of a granted run to the owner of its fingerprint.
func (q *guard) reportRun(key laneKey, r quarantine.Run, record quarantine.Record) {
	if r.Grant == 0 {
		return
	}
	q.mu.Lock()
	owner := q.view(key).Owner(r.Fingerprint)
	q.mu.Unlock()
	if m, known := q.entry.members.View().Member(owner); known && owner != q.entry.cfg.ID {
		_ = link.Notify(q.entry.pool, m.LinkAddress, methodQuarantineReport, record) // a grant that is not closed runs out by itself
	}
	if record.EverCrashed {
		q.broadcast(record)
	}
}

// serverCrashed notes that a server died without having announced that it leaves, and
// spreads all requests that ran there as suspects.
func (q *guard) serverCrashed(s quarantine.Server) {
	q.mu.Lock()
	suspects := q.set.Crashed(s, q.now())
	q.mu.Unlock()
	for _, r := range suspects {
		q.broadcast(r)
	}
}

// updateAvoided tells the lanes which servers run a suspect now. It looks at every
// record, so only when one has changed.
func (q *guard) updateAvoided() {
	q.mu.Lock()
	if q.set.Version() == q.appliedVersion {
		q.mu.Unlock()
		return
	}
	q.appliedVersion = q.set.Version()
	var servers []string
	for _, s := range q.set.OnTrial(q.now()) {
		servers = append(servers, s.ID)
	}
	q.mu.Unlock()
	for _, l := range q.entry.lanes.all() {
		l.setAvoidedServers(servers)
	}
}

// expire forgets what is older than the quarantine keeps.
func (q *guard) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Expire(q.now())
}

// attemptFailed closes the run of an attempt that its server did not answer. Whether the
// server crashed decides whether the request is a suspect: one that refused it,
// that answers a probe, or that had announced its end has not been crashed by it.
func (q *guard) attemptFailed(ctx context.Context, g *grant, err error) {
	if q.serverAlive(ctx, g, err) {
		q.end(g.lane.key, g.quarantineRun)
		return
	}
	q.serverCrashed(g.server())
}

func (q *guard) serverAlive(ctx context.Context, g *grant, err error) bool {
	var call *native.CallError
	switch {
	case native.NotRun(err), errors.Is(err, errStalled), q.entry.onLeavingServer(g):
		return true
	case errors.As(err, &call) && call.Status >= 300:
		return true // it answered, with an error
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return q.entry.runner.engines.Probe(ctx, g.verdict.Address) == nil
}
