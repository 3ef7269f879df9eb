package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/policy/queue"
)

// fairLine is policy/queue as a Line.
type fairLine struct {
	queue   *queue.Queue
	starter *queue.Starter
	jobs    map[string]*Job
	held    map[string]int // slots by workspace
}

// Fair is a Line of queue.Queue and queue.Starter with default configuration.
func Fair(s *Scenario) Line { return FairWith(queue.DefaultStartConfig())(s) }

// FairWith is Fair with another configuration of the Starter.
func FairWith(cfg queue.StartConfig) func(*Scenario) Line {
	return func(*Scenario) Line {
		q, err := queue.New(queue.DefaultConfig())
		if err != nil {
			panic(err)
		}
		starter, err := queue.NewStarter(cfg)
		if err != nil {
			panic(err)
		}
		return &fairLine{queue: q, starter: starter, jobs: make(map[string]*Job), held: make(map[string]int)}
	}
}

func item(j *Job) queue.Item {
	return queue.Item{
		ID: fmt.Sprint(j.ID), Workspace: j.Source.Workspace, Service: "chat", Class: j.Class(),
		Weight: j.Source.Weight, Cost: j.Estimate, Deadline: j.Deadline, Enqueued: j.Arrived, Resumed: j.resumed,
	}
}

func (l *fairLine) Push(now time.Time, j *Job) []*Job {
	it := item(j)
	l.starter.Seen(now, &it)
	l.jobs[it.ID] = j
	v := l.queue.Push(now, it)
	var out []*Job
	for _, evicted := range v.Evicted {
		out = append(out, l.take(evicted.ID))
	}
	if !v.Accepted {
		out = append(out, l.take(it.ID))
	}
	return out
}

func (l *fairLine) take(id string) *Job {
	j := l.jobs[id]
	delete(l.jobs, id)
	return j
}

func (l *fairLine) Next(now time.Time, slots queue.Slots) *Job {
	it, ok := l.queue.PopFunc(now, func(i *queue.Item) queue.Eligibility {
		return l.starter.Decide(now, i, slots).Eligibility()
	})
	if !ok {
		return nil
	}
	l.starter.Started(now, &it)
	l.held[it.Workspace]++
	return l.take(it.ID)
}

func (l *fairLine) Expired(now time.Time) []*Job {
	var out []*Job
	for _, it := range l.queue.Expired(now) {
		out = append(out, l.take(it.ID))
	}
	return out
}

func (l *fairLine) Ended(_ time.Time, j *Job, work int64) {
	l.starter.Ended(j.Source.Workspace)
	l.held[j.Source.Workspace]--
	l.queue.Charge(j.Source.Workspace, work-j.Estimate)
}

func (l *fairLine) Backlog(now time.Time, j *Job, slots queue.Slots) queue.Backlog {
	it := item(j)
	return l.starter.Backlog(now, l.queue, &it, slots)
}

func (l *fairLine) Held(workspace string) int { return l.held[workspace] }

func (l *fairLine) Elsewhere(workspace string, slots int) { l.starter.SetRemoteSlots(workspace, slots) }

func (l *fairLine) Len() int { return l.queue.Len() }

// learntGate is policy/admit as a Gate.
type learntGate struct {
	admitter *admit.Admitter
	drain    *admit.DrainEstimator
	rng      *rand.Rand
	sequence uint64
	term     uint64
}

// Learnt is a Gate of admit.Admitter and admit.DrainEstimator with default
// configuration.
func Learnt(s *Scenario) Gate {
	cfg := admit.DefaultConfig()
	admitter, err := admit.New(cfg)
	if err != nil {
		panic(err)
	}
	for _, src := range s.Sources {
		admitter.SetLimits(epoch, src.Workspace, src.Limits)
	}
	return &learntGate{
		admitter: admitter,
		drain:    admit.NewDrainEstimator(cfg.Memory),
		rng:      rand.New(rand.NewPCG(1, 2)),
	}
}

func (g *learntGate) Admit(now time.Time, j *Job, backlog queue.Backlog) (bool, time.Duration) {
	v := g.admitter.Decide(now, admit.Request{
		Workspace:        j.Source.Workspace,
		Class:            j.Class(),
		Cost:             j.Estimate,
		AnswerTokens:     int64(j.Source.Answer),
		Deadline:         j.Deadline,
		FirstTokenTarget: j.Source.Target,
		Estimate:         g.drain.Estimate(now, backlog),
	}, g.rng.Float64())
	return v.Admit, v.RetryAfter
}

func (g *learntGate) Full(now time.Time, full bool) { g.drain.SetFull(now, full) }

func (g *learntGate) FirstToken(now time.Time, j *Job) {
	g.drain.ObserveFirstToken(now.Sub(j.Started))
	g.drain.ObserveTokenInterval(j.Gap)
}

func (g *learntGate) Done(now time.Time, j *Job, work int64) {
	g.admitter.Done(now, j.Source.Workspace, j.Estimate, work)
	if work > 0 {
		g.drain.ObserveEnd(now, work)
	}
}

// LeasedShares returns an exchange by which a control leader leases each
// workspace's limits to the entries' gates, as admit.Shares decides.
func LeasedShares(s *Scenario) func(time.Time, []Gate) {
	var shares *admit.Shares
	return func(now time.Time, gates []Gate) {
		if shares == nil {
			shares = newShares(s, now)
		}
		for i, gate := range gates {
			g := gate.(*learntGate)
			g.sequence++
			g.term = 1
			reply := shares.Lease(now, admit.Report{
				Entry: fmt.Sprint(i), Term: g.term, Sequence: g.sequence, Demands: g.admitter.Demands(now, g.term),
			})
			for _, lease := range reply.Leases {
				g.admitter.Apply(now, now, lease)
			}
		}
	}
}

func newShares(s *Scenario, now time.Time) *admit.Shares {
	shares, err := admit.NewShares(admit.DefaultShareConfig(s.Entries), 1, now)
	if err != nil {
		panic(err)
	}
	shares.NoPredecessor()
	for _, src := range s.Sources {
		shares.SetLimits(now, src.Workspace, src.Limits)
	}
	return shares
}

// EqualShares returns an exchange that gives each entry the same fixed part.
func EqualShares(s *Scenario) func(time.Time, []Gate) {
	number := uint64(0)
	return func(now time.Time, gates []Gate) {
		number++
		n := len(gates)
		for _, gate := range gates {
			for _, src := range s.Sources {
				gate.(*learntGate).admitter.Apply(now, now, admit.Lease{
					Workspace: src.Workspace, Term: 1, Number: number, TTL: time.Minute,
					Grant: admit.Amount{
						RequestsPerSecond: src.Limits.RequestsPerSecond / float64(n),
						Concurrency:       src.Limits.Concurrency / n,
						TokensPerSecond:   src.Limits.TokensPerSecond / float64(n),
					},
				})
			}
		}
	}
}
