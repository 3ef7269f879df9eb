package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/policy/queue"
)

// fairQueue implements JobQueue with policy/queue.
type fairQueue struct {
	queue     *queue.Queue
	starter   *queue.Starter
	jobs      map[string]*Job
	slotsHeld map[string]int // by workspace
}

// FairQueue returns a JobQueue made of queue.Queue and queue.Starter with their
// default configurations.
func FairQueue(s *Scenario) JobQueue { return FairQueueWith(queue.DefaultStartConfig())(s) }

// FairQueueWith is FairQueue with cfg for the Starter.
func FairQueueWith(cfg queue.StartConfig) func(*Scenario) JobQueue {
	return func(*Scenario) JobQueue {
		q, err := queue.New(queue.DefaultConfig())
		if err != nil {
			panic(err)
		}
		starter, err := queue.NewStarter(cfg)
		if err != nil {
			panic(err)
		}
		return &fairQueue{queue: q, starter: starter, jobs: make(map[string]*Job), slotsHeld: make(map[string]int)}
	}
}

func item(j *Job) queue.Item {
	return queue.Item{
		ID: fmt.Sprint(j.ID), Workspace: j.Source.Workspace, Service: "chat", Class: j.Class(),
		Weight: j.Source.Weight, Cost: j.EstimatedWork, Deadline: j.Deadline, Enqueued: j.Arrived, Resumed: j.resumed,
	}
}

func (q *fairQueue) Push(now time.Time, j *Job) []*Job {
	it := item(j)
	q.starter.ObserveArrival(now, &it)
	q.jobs[it.ID] = j
	v := q.queue.Push(now, it)
	var out []*Job
	for _, evicted := range v.Evicted {
		out = append(out, q.remove(evicted.ID))
	}
	if !v.Accepted {
		out = append(out, q.remove(it.ID))
	}
	return out
}

func (q *fairQueue) remove(id string) *Job {
	j := q.jobs[id]
	delete(q.jobs, id)
	return j
}

func (q *fairQueue) Next(now time.Time, slots queue.Slots) *Job {
	it, ok := q.queue.PopFunc(now, func(i *queue.Item) queue.Eligibility {
		return q.starter.Decide(now, i, slots).Eligibility()
	})
	if !ok {
		return nil
	}
	q.starter.Started(now, &it)
	q.slotsHeld[it.Workspace]++
	return q.remove(it.ID)
}

func (q *fairQueue) Expired(now time.Time) []*Job {
	var out []*Job
	for _, it := range q.queue.Expired(now) {
		out = append(out, q.remove(it.ID))
	}
	return out
}

func (q *fairQueue) Ended(_ time.Time, j *Job, work int64) {
	q.starter.Ended(j.Source.Workspace)
	q.slotsHeld[j.Source.Workspace]--
	q.queue.Charge(j.Source.Workspace, work-j.EstimatedWork)
}

func (q *fairQueue) Backlog(now time.Time, j *Job, slots queue.Slots) queue.Backlog {
	it := item(j)
	return q.starter.Backlog(now, q.queue, &it, slots)
}

func (q *fairQueue) SlotsHeld(workspace string) int { return q.slotsHeld[workspace] }

func (q *fairQueue) SetRemoteSlots(workspace string, n int) { q.starter.SetRemoteSlots(workspace, n) }

func (q *fairQueue) Len() int { return q.queue.Len() }

// policyAdmitter implements Admitter with policy/admit.
type policyAdmitter struct {
	admitter *admit.Admitter
	drain    *admit.DrainEstimator
	rng      *rand.Rand
	sequence uint64
	term     uint64
}

// PolicyAdmitter returns an Admitter made of admit.Admitter and
// admit.DrainEstimator with their default configurations.
func PolicyAdmitter(s *Scenario) Admitter {
	cfg := admit.DefaultConfig()
	admitter, err := admit.New(cfg)
	if err != nil {
		panic(err)
	}
	for _, src := range s.Sources {
		admitter.SetLimits(epoch, src.Workspace, src.Limits)
	}
	return &policyAdmitter{
		admitter: admitter,
		drain:    admit.NewDrainEstimator(cfg.Memory),
		rng:      rand.New(rand.NewPCG(1, 2)),
	}
}

func (a *policyAdmitter) Admit(now time.Time, j *Job, backlog queue.Backlog) (bool, time.Duration) {
	v := a.admitter.Decide(now, admit.Request{
		Workspace:        j.Source.Workspace,
		Class:            j.Class(),
		Cost:             j.EstimatedWork,
		AnswerTokens:     int64(j.Source.MeanAnswerTokens),
		Deadline:         j.Deadline,
		FirstTokenTarget: j.Source.FirstTokenTarget,
		Estimate:         a.drain.Estimate(now, backlog),
	}, a.rng.Float64())
	return v.Admit, v.RetryAfter
}

func (a *policyAdmitter) SetFull(now time.Time, full bool) { a.drain.SetFull(now, full) }

func (a *policyAdmitter) FirstToken(now time.Time, j *Job) {
	a.drain.ObserveFirstToken(now.Sub(j.Started))
	a.drain.ObserveTokenInterval(j.TokenInterval)
}

func (a *policyAdmitter) Done(now time.Time, j *Job, work int64) {
	a.admitter.Done(now, j.Source.Workspace, j.EstimatedWork, work)
	if work > 0 {
		a.drain.ObserveEnd(now, work)
	}
}

// LeasedShares returns a PolicySet.Exchange in which a control leader leases
// shares of each workspace's limits to the entries, as admit.Shares decides. The
// admitters must come from PolicyAdmitter.
func LeasedShares(s *Scenario) func(time.Time, []Admitter) {
	var shares *admit.Shares
	return func(now time.Time, admitters []Admitter) {
		if shares == nil {
			shares = newShares(s, now)
		}
		for i, admitter := range admitters {
			a := admitter.(*policyAdmitter)
			a.sequence++
			a.term = 1
			reply := shares.Lease(now, admit.Report{
				Entry: fmt.Sprint(i), Term: a.term, Sequence: a.sequence, Demands: a.admitter.Demands(now, a.term),
			})
			for _, lease := range reply.Leases {
				a.admitter.Apply(now, now, lease)
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

// EqualShares returns a PolicySet.Exchange that gives each entry the same fixed
// share of each workspace's limits. The admitters must come from PolicyAdmitter.
func EqualShares(s *Scenario) func(time.Time, []Admitter) {
	leaseNumber := uint64(0)
	return func(now time.Time, admitters []Admitter) {
		leaseNumber++
		n := len(admitters)
		for _, admitter := range admitters {
			for _, src := range s.Sources {
				admitter.(*policyAdmitter).admitter.Apply(now, now, admit.Lease{
					Workspace: src.Workspace, Term: 1, Number: leaseNumber, TTL: time.Minute,
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
