package entry

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/platform"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/request"
)

// Links between entries for requests under suspicion.
const (
	methodAskOwner = "entry.quarantine.ask"
	methodTellOwn  = "entry.quarantine.tell"
)

// Periods of the quarantine.
const (
	// askTimeout bounds the question to the owner of a fingerprint. It is far
	// above a round trip within a region, and far below the first-token target.
	askTimeout = 150 * time.Millisecond
	// suspectEvery is how often a suspect that has to wait asks again.
	suspectEvery = 50 * time.Millisecond
	expireEvery  = time.Minute
)

// recordPrefix begins the keys of quarantine records in the membership.
const recordPrefix = "quarantine/"

// askMessage passes a request's fingerprint to its owner with what is known. The
// record goes along only where it holds something: most requests have run
// nowhere yet, and entries ask this for each of them.
type askMessage struct {
	Print  uint64             `msgpack:"f"`
	Record *quarantine.Record `msgpack:"r,omitempty"`
	Server quarantine.Server  `msgpack:"s"` // where routing would send it
	Kind   contract.Kind      `msgpack:"k"` // of the pool whose servers can run it
	Pool   string             `msgpack:"p"`
}

// askReply is the owner's verdict. Server and Record go along only where they
// differ from what the asking entry knows or must be told.
type askReply struct {
	Action quarantine.Action  `msgpack:"a"`
	Reason quarantine.Reason  `msgpack:"y"`
	Grant  uint64             `msgpack:"g,omitempty"`
	Server *quarantine.Server `msgpack:"s,omitempty"`
	Until  int64              `msgpack:"u,omitempty"` // Unix milliseconds
	Record *quarantine.Record `msgpack:"r,omitempty"`
}

// guard keeps this entry's part of the quarantine: which requests are under
// suspicion, and where they may run.
type guard struct {
	entry *Entry
	log   *slog.Logger
	now   func() time.Time

	mu    sync.Mutex
	set   *quarantine.Set
	stale bool                         // an entry or a server came or went since views were built
	views map[laneKey]*quarantine.View // who owns what, of each pool: a trial needs a server that can run the request
	seen  map[string]sighting          // backend servers by id
}

// sighting is how a backend server was last seen.
type sighting struct {
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
		views: map[laneKey]*quarantine.View{}, seen: map[string]sighting{},
	}, nil
}

func (q *guard) register(s *link.Server) {
	link.Handle(s, methodAskOwner, q.answer)
	link.HandleNotice(s, methodTellOwn, func(_ context.Context, _ link.PeerInfo, r quarantine.Record) { q.merge(r) })
}

// answer decides as the owner of a fingerprint.
func (q *guard) answer(_ context.Context, _ link.PeerInfo, m askMessage) (askReply, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if m.Record != nil {
		q.set.Merge(*m.Record, now)
	}
	v := q.set.Admit(quarantine.Ask{Now: now, Fingerprint: m.Print, Server: m.Server, View: q.view(laneKey{m.Kind, m.Pool})})
	reply := askReply{Action: v.Action, Reason: v.Reason, Grant: v.Grant}
	if v.Server != m.Server {
		reply.Server = &v.Server
	}
	if !v.Until.IsZero() {
		reply.Until = v.Until.UnixMilli()
	}
	if v.Record.Struck {
		reply.Record = &v.Record
	}
	return reply, nil
}

// verdict restores the owner's verdict at the entry that asked.
func (r *askReply) verdict(ask quarantine.Ask) quarantine.Verdict {
	v := quarantine.Verdict{Action: r.Action, Reason: r.Reason, Server: ask.Server, Grant: r.Grant}
	if r.Server != nil {
		v.Server = *r.Server
	}
	if r.Until != 0 {
		v.Until = time.UnixMilli(r.Until)
	}
	switch {
	case r.Record != nil:
		v.Record = *r.Record
	case r.Grant != 0:
		trial := quarantine.Exposure{Server: v.Server, Grant: r.Grant, State: quarantine.StateTrial, At: ask.Now}
		v.Record = quarantine.Record{Fingerprint: ask.Fingerprint, Exposures: []quarantine.Exposure{trial}}
	default:
		v.Record.Fingerprint = ask.Fingerprint
	}
	return v
}

// membersChanged notes that an entry or a server came or went. Who owns what is
// worked out at the next question: when a data centre goes, hundreds of changes
// come within a second, and each would otherwise be worked out for nothing.
func (q *guard) membersChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stale = true
}

// rebuild works out who owns what. The lock is held; the view takes none.
func (q *guard) rebuild() {
	var entries []string
	for _, m := range q.entry.members.View().Members(instance.RoleEntry) {
		if m.State == instance.StateServing {
			entries = append(entries, m.ID)
		}
	}
	pools := map[laneKey][]quarantine.Server{}
	for _, s := range q.entry.members.View().AllServers() {
		if s.State != instance.StateServing {
			continue
		}
		for _, key := range keysOf(s) {
			pools[key] = append(pools[key], quarantine.Server{ID: s.ID, Incarnation: s.Incarnation})
		}
	}
	views := make(map[laneKey]*quarantine.View, len(pools))
	for key, servers := range pools {
		views[key] = quarantine.NewView(q.entry.cfg.ID, entries, servers)
	}
	q.views, q.stale = views, false
}

// view is the picture of one pool. The lock is held.
func (q *guard) view(key laneKey) *quarantine.View {
	if q.stale {
		q.rebuild()
	}
	if v, known := q.views[key]; known {
		return v
	}
	return quarantine.NewView(q.entry.cfg.ID, nil, nil)
}

// serverChanged notes how a server is seen now. One that was serving and is gone,
// or is back under a new incarnation, crashed: it said nothing of leaving. The
// entry that ran a request there may be lost too, and then only this tells.
func (q *guard) serverChanged(s *instance.Server) {
	q.mu.Lock()
	was, known := q.seen[s.ID]
	q.seen[s.ID] = sighting{incarnation: s.Incarnation, serving: s.State == instance.StateServing}
	if s.State == instance.StateGone {
		delete(q.seen, s.ID)
	}
	q.mu.Unlock()
	over := s.State == instance.StateGone || s.Incarnation > was.incarnation
	if known && was.serving && over {
		q.crashed(quarantine.Server{ID: s.ID, Incarnation: was.incarnation})
	}
}

// clear decides whether a request may be sent to the server that it was
// granted. It may wait, come back with a grant for another server, or return
// the request's final problem. Nothing has been sent when it returns.
func (q *guard) clear(ctx context.Context, t *ticket, g *grant) (*grant, error) {
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
			if next, ok := t.lane.move(t, g, v.Server); ok {
				next.run = q.start(fingerprint, v)
				return next, nil
			}
			q.end(t.lane.key, q.start(fingerprint, v)) // the granted server has gone: give the grant back
		default:
			g.cancelled()
		}
		event.Log(ctx, q.log, slog.LevelInfo, event.SuspectHeld,
			slog.String("request", string(t.request.ID)), slog.String("reason", v.Reason.String()))
		var err error
		if g, err = q.later(ctx, t); err != nil {
			return nil, err
		}
	}
}

// later waits a while and grants a server anew.
func (q *guard) later(ctx context.Context, t *ticket) (*grant, error) {
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(suspectEvery):
		}
		if g, ok := t.lane.again(t); ok {
			return g, nil
		}
	}
}

// decide asks this entry's own records and, where another entry owns the
// fingerprint, that one.
func (q *guard) decide(ctx context.Context, key laneKey, fingerprint uint64, server quarantine.Server) quarantine.Verdict {
	ask := quarantine.Ask{Now: q.now(), Fingerprint: fingerprint, Server: server}
	v := q.admit(key, ask)
	if v.Action != quarantine.ActionPass {
		return v
	}
	m, known := q.entry.members.View().Member(v.Owner)
	if !known {
		return q.unasked(key, ask, v)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	msg := askMessage{Print: fingerprint, Server: server, Kind: key.kind, Pool: key.name}
	if len(v.Record.Exposures) > 0 {
		msg.Record = &v.Record
	}
	reply, err := link.Call[askReply](ctx, q.entry.pool, m.LinkAddress, methodAskOwner, msg)
	if err != nil || reply.Action == quarantine.ActionPass {
		return q.unasked(key, ask, v)
	}
	granted := reply.verdict(ask)
	q.merge(granted.Record)
	return granted
}

// unasked decides where the owner cannot be reached. A suspect waits: its owner
// may have a trial open elsewhere. A request that nothing speaks against runs:
// else each loss of an entry would hold up the requests that it owned until the
// others have noticed, some seconds in which callers of a healthy system wait.
// While owners are out of reach, a request that crashes servers can take one
// more than two for each entry that it comes through.
func (q *guard) unasked(key laneKey, ask quarantine.Ask, v quarantine.Verdict) quarantine.Verdict {
	if v.Record.Struck {
		ask.Unreachable = true
		return q.admit(key, ask)
	}
	return quarantine.Verdict{Action: quarantine.ActionRun, Reason: quarantine.ReasonNoSuspicion, Server: ask.Server}
}

func (q *guard) admit(key laneKey, ask quarantine.Ask) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	ask.View = q.view(key)
	return q.set.Admit(ask)
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
	q.tell(key, r, record)
}

// end notes that a run ended otherwise on a server that lives, or that leaves
// as announced.
func (q *guard) end(key laneKey, r quarantine.Run) {
	q.mu.Lock()
	record := q.set.End(r, q.now())
	q.mu.Unlock()
	q.tell(key, r, record)
}

// tell gives the news of a granted run to the owner of its fingerprint.
func (q *guard) tell(key laneKey, r quarantine.Run, record quarantine.Record) {
	if r.Grant == 0 {
		return
	}
	q.mu.Lock()
	owner := q.view(key).Owner(r.Fingerprint)
	q.mu.Unlock()
	if m, known := q.entry.members.View().Member(owner); known && owner != q.entry.cfg.ID {
		_ = link.Notify(q.entry.pool, m.LinkAddress, methodTellOwn, record) // a grant that is not closed runs out by itself
	}
	if record.Struck {
		q.spread(record)
	}
}

// crashed notes that a server died without having announced that it leaves, and
// spreads all requests that ran there as suspects.
func (q *guard) crashed(s quarantine.Server) {
	q.mu.Lock()
	suspects := q.set.Crashed(s, q.now())
	q.mu.Unlock()
	for _, r := range suspects {
		q.spread(r)
	}
}

// spread gives a record to all entries.
func (q *guard) spread(r quarantine.Record) {
	body, err := msgpack.Marshal(&r)
	if err != nil {
		return // typed values of numbers, strings and times always encode
	}
	q.entry.members.Put(recordPrefix+strconv.FormatUint(r.Fingerprint, 16), uint64(q.now().UnixMilli()), body)
}

// recordChanged takes in a record that another entry has spread.
func (q *guard) recordChanged(r *instance.Record) {
	var record quarantine.Record
	if link.Unmarshal(r.Body, &record) == nil {
		q.merge(record)
	}
}

func (q *guard) merge(r quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Merge(r, q.now())
}

// mergeRecords joins two bodies of one shared record for the membership. A body
// that cannot be read counts for nothing.
func mergeRecords(_ string, a, b []byte) []byte {
	var ra, rb quarantine.Record
	if link.Unmarshal(a, &ra) != nil {
		return b
	}
	if link.Unmarshal(b, &rb) != nil {
		return a
	}
	merged := quarantine.Merge(ra, rb)
	body, err := msgpack.Marshal(&merged)
	if err != nil {
		return a // typed values of numbers, strings and times always encode
	}
	return body
}

// expireLoop forgets what is older than the quarantine keeps.
func (q *guard) expireLoop(ctx context.Context) error {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		q.mu.Lock()
		q.set.Expire(q.now())
		q.mu.Unlock()
	}
}

// lost closes the run of an attempt that its server did not answer. Whether the
// server crashed decides whether the request is a suspect: one that refused it,
// that answers a probe, or that had announced its end has not been crashed by it.
func (q *guard) lost(ctx context.Context, g *grant, err error) {
	if q.lives(ctx, g, err) {
		q.end(g.lane.key, g.run)
		return
	}
	q.crashed(g.server())
}

func (q *guard) lives(ctx context.Context, g *grant, err error) bool {
	var call *platform.CallError
	switch {
	case platform.NotRun(err), errors.Is(err, errStalled), q.entry.reclaimed(g):
		return true
	case errors.As(err, &call) && call.Status >= 300:
		return true // it answered, with an error
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return q.entry.runner.engines.Probe(ctx, g.verdict.Address) == nil
}

// server is the life of the backend server that the grant is for.
func (g *grant) server() quarantine.Server {
	return quarantine.Server{ID: g.verdict.Server, Incarnation: g.verdict.Incarnation}
}

// move exchanges a grant for one on a given server. ok is false, and the grant
// given back, when that server cannot take work.
func (l *lane) move(t *ticket, g *grant, to quarantine.Server) (*grant, bool) {
	if g.server() == to {
		return g, true
	}
	g.cancelled()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	v := l.router.ChooseServer(&t.route, to.ID)
	if !v.OK() || v.Incarnation != to.Incarnation {
		return nil, false
	}
	l.logRoute(t.request, &v, 0)
	item := itemOf(t.request, t.weight, now)
	item.Resumed = true
	return l.grant(&v, &item, now), true
}
