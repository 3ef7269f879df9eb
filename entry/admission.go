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

// leaseInterval is how often an entry reports its demand and renews its leases on shares of
// the workspaces' limits. admit.DefaultShareConfig depends on it.
const leaseInterval = time.Second

// admissionShards is the number of locks over which the workspaces are spread.
const admissionShards = 16

// leaseClient obtains leases on shares of the limits from the control leader. api.Client
// implements it.
type leaseClient interface {
	Leases(ctx context.Context, r admit.Report) (admit.Reply, error)
}

// admission enforces this entry's shares of the workspaces' limits, in shards by workspace.
type admission struct {
	entry  string // entry id and incarnation, since a restarted entry has none of its earlier leases
	now    func() time.Time
	seed   maphash.Seed
	shards [admissionShards]admissionShard

	// Sent with each report to the control leader. Only leaseLoop uses them.
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

// setLimits applies the limits of a new catalogue version.
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

// removeMissing removes the workspaces that the catalogue no longer contains.
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

// decide reports whether a request is admitted, and the reason if it is not.
func (a *admission) decide(r admit.Request) admit.Verdict {
	s := a.shard(r.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitter.Decide(a.now(), r, rand.Float64())
}

// resume counts a request that another entry has admitted and handed over to this one.
func (a *admission) resume(workspace string) {
	s := a.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitter.Resume(workspace)
}

// done records the end of an admitted request. actual is its work in tokens.
func (a *admission) done(r *request.Request, actual int) {
	s := a.shard(r.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitter.Done(a.now(), r.Workspace, int64(r.Cost), int64(actual))
}

// leaseLoop renews this entry's leases until ctx ends.
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

// renew sends a report and, if a new leader answers it, a second one under that leader's
// term.
func (a *admission) renew(ctx context.Context, control leaseClient) {
	for range 2 {
		sentAt := a.now()
		reply, err := control.Leases(ctx, a.report(sentAt))
		if err != nil {
			return // the leases expire unless a later report renews them
		}
		a.term = reply.Term
		if reply.Status == admit.Leased {
			a.apply(sentAt, reply.Leases)
			return
		}
	}
}

// report returns the next report of the demands of all workspaces.
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

// apply applies the leases that a report sent at sentAt has obtained.
func (a *admission) apply(sentAt time.Time, leases []admit.Lease) {
	for _, l := range leases {
		s := a.shard(l.Workspace)
		s.mu.Lock()
		s.admitter.Apply(a.now(), sentAt, l)
		s.mu.Unlock()
	}
}

// admit returns nil if the limits of the workspace and the estimated wait in the queue
// allow the request. Otherwise it returns the problem with which the request is refused.
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

// refusalCode returns the problem code of a refusal.
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

// release ends the admission of a request. actual is its work in tokens.
func (e *Entry) release(r *request.Request, actual int) { e.admitter.done(r, actual) }
