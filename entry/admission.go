package entry

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/request"
)

// leaseInterval is how often an entry reports its demand and has its parts of the
// workspaces' limits renewed; admit.DefaultShareConfig is made for it.
const leaseInterval = time.Second

// admissionShards spreads the workspaces over locks.
const admissionShards = 16

// leaseClient is how an entry gets its parts of the limits; api.Client is one.
type leaseClient interface {
	Leases(ctx context.Context, r admit.Report) (admit.Reply, error)
}

// admission holds this entry's part of the workspaces' limits, in shards by
// workspace.
type admission struct {
	entry  string // this life of this entry: a new one holds none of the old one's leases
	now    func() time.Time
	seed   maphash.Seed
	shards [admissionShards]admissionShard

	// Of the reports to the control leader; only the lease loop uses them.
	term     uint64
	sequence uint64
}

type admissionShard struct {
	mu         sync.Mutex
	admitter   *admit.Admitter
	workspaces map[string]bool // workspaces that have limits set
}

func newAdmission(entry string, now func() time.Time) (*admission, error) {
	a := &admission{entry: entry, now: now, seed: maphash.MakeSeed()}
	for i := range a.shards {
		admitter, err := admit.New(admit.DefaultConfig())
		if err != nil {
			return nil, err
		}
		a.shards[i].admitter, a.shards[i].workspaces = admitter, map[string]bool{}
	}
	return a, nil
}

func (a *admission) shard(workspace string) *admissionShard {
	return &a.shards[maphash.String(a.seed, workspace)%admissionShards]
}

// setLimits takes the setLimits of a new catalogue version.
func (a *admission) setLimits(c *catalogue) {
	now := a.now()
	for name, w := range c.workspacesByName {
		s := a.shard(name)
		s.mu.Lock()
		s.admitter.SetLimits(now, name, w.Limits)
		s.workspaces[name] = true
		s.mu.Unlock()
	}
	for i := range a.shards {
		a.shards[i].removeMissing(c)
	}
}

// removeMissing drops the workspaces that the catalogue no longer has.
func (s *admissionShard) removeMissing(c *catalogue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.workspaces {
		if _, present := c.workspacesByName[name]; !present {
			s.admitter.RemoveWorkspace(name)
			delete(s.workspaces, name)
		}
	}
}

func (a *admission) decide(r admit.Request) admit.Verdict {
	s := a.shard(r.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitter.Decide(a.now(), r, rand.Float64())
}

// resume counts a request that another entry had admitted.
func (a *admission) resume(workspace string) {
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitter.Resume(workspace)
}

func (a *admission) done(r *request.Request, actual int) {
	s := a.shard(r.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitter.Done(a.now(), r.Workspace, int64(r.Cost), int64(actual))
}

// leaseLoop renews this entry's parts of the limits until ctx ends.
func (a *admission) leaseLoop(ctx context.Context, control leaseClient) error {
	tick := time.NewTicker(leaseInterval)
	defer tick.Stop()
	for {
		a.renew(ctx, control)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// renew reports once, and a second time under the term of a new leader.
func (a *admission) renew(ctx context.Context, control leaseClient) {
	for range 2 {
		sentAt := a.now()
		reply, err := control.Leases(ctx, a.report(sentAt))
		if err != nil {
			return // what is leased runs out by itself
		}
		a.term = reply.Term
		if reply.Status == admit.Leased {
			a.apply(sentAt, reply.Leases)
			return
		}
	}
}

func (a *admission) report(now time.Time) admit.Report {
	a.sequence++
	r := admit.Report{Entry: a.entry, Term: a.term, Sequence: a.sequence}
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		r.Demands = append(r.Demands, s.admitter.Demands(now, a.term)...)
		s.mu.Unlock()
	}
	return r
}

func (a *admission) apply(sentAt time.Time, leases []admit.Lease) {
	for _, l := range leases {
		s := a.shard(l.Workspace)
		s.mu.Lock()
		s.admitter.Apply(a.now(), sentAt, l)
		s.mu.Unlock()
	}
}

// admit lets a request in by its workspace's limits and by what the queue can
// start in time, or refuses it at once.
func (e *Entry) admit(w *contract.Workspace, s *contract.Service, r *request.Request) *request.Problem {
	l, err := e.lanes.get(laneKeyOf(s))
	if err != nil {
		return request.NewProblem(request.CodeInternal, request.NotRun, "%v", err)
	}
	v := e.admitter.decide(admit.Request{
		Workspace: w.Name, Class: r.Class, Cost: int64(r.Cost), AnswerTokens: int64(r.Answer),
		Deadline: r.Deadline, FirstTokenTarget: s.Target.FirstToken, Estimate: l.estimate(r, w.Weight),
	})
	if v.Admit {
		return nil
	}
	p := request.NewProblem(refusalCode(v.Reason), request.NotRun, "workspace %s: %s", w.Name, v.Reason).After(v.RetryAfter)
	p.RequestID = r.ID
	return p
}

func refusalCode(r admit.Reason) request.Code {
	switch {
	case r.IsLimit():
		return request.CodeLimit
	case r == admit.DeadlinePassed:
		return request.CodeDeadlineExpired
	case r == admit.DeadlineTooNear:
		return request.CodeDeadlineUnmet
	default:
		return request.CodeQueueFull
	}
}

// release gives back what an admitted request held. actual is its work in
// tokens as it turned out.
func (e *Entry) release(r *request.Request, actual int) { e.admitter.done(r, actual) }
