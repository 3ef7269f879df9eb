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

// Calls and notices to the owner of a request's fingerprint.
const (
	methodQuarantineAdmit  = "entry.quarantine.ask"
	methodQuarantineReport = "entry.quarantine.tell"
	methodQuarantineRecord = "entry.quarantine.record"
)

// Intervals and timeouts of the quarantine.
const (
	// quarantineOwnerTimeout bounds a call to the owner of a fingerprint. It is well above
	// a round trip within a region and well below the objective for the first token.
	quarantineOwnerTimeout = 150 * time.Millisecond
	// suspectRetryInterval is how often a suspect that has to wait asks again.
	suspectRetryInterval     = 50 * time.Millisecond
	quarantineExpireInterval = time.Minute
)

// guard holds this entry's quarantine records: which requests are suspected of crashing
// servers, and where they may run.
type guard struct {
	entry *Entry
	log   *slog.Logger
	now   func() time.Time
	begun time.Time // when this entry started

	mu             sync.Mutex
	set            *quarantine.Set
	appliedVersion uint64                       // version of set that the avoided servers of the lanes reflect
	viewsBuiltAt   time.Time                    // when views was last built
	viewsStale     bool                         // whether entries or servers have changed since
	views          map[laneKey]*quarantine.View // by pool, since a trial needs a server that can run the request
	servers        map[string]observedServer    // as last observed, by id

	parts     *partSuspects
	publisher *recordPublisher
}

// observedServer is the last observed state of a backend server.
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
		entry: e, log: e.deps.Log, now: e.deps.Now, begun: e.deps.Now(), set: set,
		views: map[laneKey]*quarantine.View{}, servers: map[string]observedServer{},
		parts:     newPartSuspects(),
		publisher: newRecordPublisher(e.control, e.deps.Log),
	}, nil
}

func (q *guard) register(s *link.Server) {
	link.Handle(s, methodQuarantineAdmit, q.handleAdmit)
	link.Handle(s, methodQuarantineRecord, q.handleRecord)
	link.Handle(s, methodPartTrials, q.handlePartTrials)
	link.HandleNotice(s, methodQuarantineReport, func(_ context.Context, _ link.PeerInfo, r quarantine.Record) { q.merge(r) })
}

// serverChanged records a server's state. A server that was serving and has ended or
// restarted without announcing that it leaves has crashed. The crash is detected even if
// the entry that ran the request is lost as well.
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

// checkGrant decides whether a request may be sent to the granted server. It may wait,
// return a grant on another server, or return the request's final problem. It returns
// before anything is sent.
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
			if p := q.takePartTrials(ctx, t); p != nil {
				q.end(t.lane.key, q.start(fingerprint, v)) // it is not sent
				g.cancelled()
				return nil, p
			}
			moved, ok := t.lane.exchangeGrant(t, g, v.Server)
			if ok && t.lane.limits.Acquire(ctx, moved.limitedServer()) {
				moved.quarantineRun = q.startRun(t, fingerprint, v)
				return moved, nil
			}
			q.end(t.lane.key, q.start(fingerprint, v)) // the server of the verdict is unavailable, so its run ends
			if ok {
				moved.cancelled()
			}
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

// waitForGrant waits until a server can be granted again.
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

// start records that a run starts by the verdict v.
func (q *guard) start(fingerprint uint64, v quarantine.Verdict) quarantine.Run {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Start(fingerprint, v)
}

// finish records a run whose answer is complete.
func (q *guard) finish(key laneKey, r quarantine.Run) {
	now := q.now()
	q.mu.Lock()
	record := q.set.Finish(r, now)
	parts := q.parts.finish(r, now)
	q.mu.Unlock()
	q.broadcastAll(parts)
	q.reportRun(key, r, record)
}

// end records a run that ended without a complete answer although its server has not
// crashed.
func (q *guard) end(key laneKey, r quarantine.Run) {
	q.mu.Lock()
	record := q.set.End(r, q.now())
	q.parts.end(r)
	q.mu.Unlock()
	q.reportRun(key, r, record)
}

// reportRun reports the end of a granted run to the owner of its fingerprint. A record with
// crashes is broadcast as well.
func (q *guard) reportRun(key laneKey, r quarantine.Run, record quarantine.Record) {
	if r.Grant == 0 {
		return
	}
	q.mu.Lock()
	owner := q.view(key).Owner(r.Fingerprint)
	q.mu.Unlock()
	if m, known := q.entry.members.View().Member(owner); known && owner != q.entry.cfg.ID {
		_ = link.Notify(q.entry.pool, m.LinkAddress, methodQuarantineReport, record) // if the notice is lost, the grant expires at the owner
	}
	if record.EverCrashed {
		q.broadcast(record)
	}
}

// serverCrashed records that a server ended without announcing it, and broadcasts the
// requests that ran there, and the parts of their prompts, as suspects.
func (q *guard) serverCrashed(s quarantine.Server) {
	now := q.now()
	q.mu.Lock()
	suspects := append(q.set.Crashed(s, now), q.parts.crashed(s, now)...)
	q.mu.Unlock()
	q.broadcastAll(suspects)
}

// updateAvoided updates the lanes with the servers that run a suspect. It reads all
// records, so it returns early unless one has changed.
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

// expire removes the expired records.
func (q *guard) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Expire(q.now())
	q.parts.expire(q.now())
}

// attemptFailed closes the run of an attempt that its server has not answered. The request
// becomes a suspect unless the server is alive or was leaving.
func (q *guard) attemptFailed(ctx context.Context, g *grant, err error) {
	if q.serverAlive(ctx, g, err) {
		q.end(g.lane.key, g.quarantineRun)
		return
	}
	q.serverCrashed(g.server())
}

// serverAlive reports whether the failure of an attempt is no sign of a crash: the server
// refused the request, answered with an error, was leaving, or answers a probe, this entry's
// or another one's. It also does if only this entry's path to the servers may have failed.
func (q *guard) serverAlive(ctx context.Context, g *grant, err error) bool {
	var call *native.CallError
	switch {
	case native.NotRun(err), errors.Is(err, errStalled), q.entry.onLeavingServer(g):
		return true
	case errors.As(err, &call) && call.Status >= 300:
		return true // the server answered with an error
	}
	ctx = context.WithoutCancel(ctx)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if q.entry.runner.engines.Probe(probeCtx, g.verdict.Address) == nil {
		return true
	}
	// That the probe failed is no sign of a crash yet: others may have been reached only just before.
	confirmCtx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	return !q.entry.reach.ServerGone(confirmCtx, probedServer(g.verdict.Address, q.entry.zoneOfServer(g.verdict.Address)))
}
