package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/rollout"
)

// reportBadAnswers is by how many the candidate's bad answers grow until they are reported at once.
const reportBadAnswers = 5

// rollouts holds the rollouts that the control replicas report, what this entry has sent in them, and
// how that ended. It is safe for concurrent use.
type rollouts struct {
	limits  rollout.Limits
	now     func() time.Time
	entries func() int // number of live entries
	// majorityAt returns when a majority of the control replicas had read what they have reported.
	majorityAt func() time.Time
	set        *metrics.Set
	report     func()  // sends this entry's samples to the control replicas at once
	draw       float64 // see rollout.NewExposure

	known atomic.Bool // there is a rollout; false: requests need not look

	mu        sync.Mutex
	byService map[string]*serviceRollout
	// confirmedAt is when a control replica read the newest report that this entry has.
	confirmedAt time.Time
}

func (g *Gateway) newRollouts() *rollouts {
	return &rollouts{
		limits: g.cfg.Node.Bounds.Rollout, now: g.now, entries: g.liveEntryCount, majorityAt: g.freshness.majorityAt, set: g.metrics,
		report: func() { g.rolloutReporter.wake(g.follower.SendNow) }, draw: rand.Float64(), byService: make(map[string]*serviceRollout),
	}
}

// serviceRollout is the last rollout of a service. It is guarded by rollouts.mu.
type serviceRollout struct {
	api.Rollout
	exposure    *rollout.Exposure
	samples     map[string]*rollout.RouteSample // by route
	bad         uint64                          // bad answers of the candidate
	badReported uint64                          // of those, when they were last reported at once
	superseded  bool
	counters    [2]groupCounters // of the stable versions and the candidate
}

// groupCounters counts what this entry has sent to one group of versions.
type groupCounters struct{ sends, bad *metrics.Counter }

// update applies the rollouts that a replica reports. One that lags behind does not revert a later phase.
func (r *rollouts) update(reply *api.WatchReply) {
	entries := r.entries()
	r.mu.Lock()
	defer r.mu.Unlock()
	// The time of arrival would be too late: a reply waits while this process is starved.
	if at := reply.SentAt.Add(reply.Held); at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	if !reply.HasRollouts {
		return
	}
	for i := range reply.Rollouts {
		r.apply(&reply.Rollouts[i], entries)
	}
	r.known.Store(len(r.byService) > 0)
}

// apply applies one reported rollout. r.mu is held.
func (r *rollouts) apply(reported *api.Rollout, entries int) {
	current := r.byService[reported.Service]
	switch {
	case current == nil:
		r.byService[reported.Service] = r.begin(reported, entries)
	case !reported.Newer(&current.Rollout):
	case reported.ID == current.ID:
		current.Phase = reported.Phase
	default:
		current.superseded = true
		r.byService[reported.Service] = r.begin(reported, entries)
	}
}

// begin returns the state of a rollout of which this entry has just learned.
func (r *rollouts) begin(reported *api.Rollout, entries int) *serviceRollout {
	s := &serviceRollout{
		Rollout: *reported, exposure: rollout.NewExposure(r.limits, entries, r.draw), samples: make(map[string]*rollout.RouteSample),
	}
	for i, group := range [...]string{"stable", "candidate"} {
		s.counters[i].sends = r.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_rollout_requests_total{service=%q,group=%q}`, s.Service, group))
		s.counters[i].bad = r.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_rollout_bad_answers_total{service=%q,group=%q}`, s.Service, group))
	}
	return s
}

// leased reports whether candidates may get requests now. An entry that has had no reply for the lease
// may have missed that one is rolled back, as may the replica that replies if it is cut off from the
// others: without replies of a majority the permission ends, too. That bound is wider, since at a large
// site most replicas reply to an entry only every few seconds. r.mu is held.
func (r *rollouts) leased() bool {
	now, lease := r.now(), rollout.LeaseTime(r.limits)
	return now.Sub(r.confirmedAt) < lease && now.Sub(r.majorityAt()) < r.limits.RollbackWithin-lease
}

// versionRule says which versions may get a send.
type versionRule struct {
	only      string // empty: any but those to avoid
	avoid     []string
	candidate bool // the send is one to the candidate
	// fallback says when the next rule applies if no server can be chosen by this one.
	fallback fallback
}

// fallback is when a request goes to the versions of the next rule.
type fallback uint8

const (
	fallbackNever    fallback = iota
	fallbackAlways            // no server can take it
	fallbackUnserved          // no server of the rule's versions serves
)

// rules returns what applies to the next send of a request to a service, in order. failed says that the
// candidate has failed the request before. There are none without a rollout. A rule for the candidate in
// the canary phase has taken its send from the exposure.
func (r *rollouts) rules(service string, failed bool) (*serviceRollout, rollout.Phase, []versionRule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byService[service]
	if s == nil {
		return nil, 0, nil
	}
	stable := versionRule{avoid: append([]string{s.To}, s.Retired...)}
	candidate := versionRule{only: s.To, candidate: true, fallback: fallbackAlways}
	switch {
	case s.Phase == rollout.Completed:
		return s, s.Phase, []versionRule{
			{avoid: slices.Concat(s.From, s.Retired), candidate: true, fallback: fallbackUnserved},
			{avoid: s.Retired},
		}
	case s.Phase == rollout.RolledBack || failed || !r.leased():
		return s, s.Phase, []versionRule{stable}
	case s.Phase == rollout.Shifting || rand.Float64() < drawnShare && s.exposure.Allow():
		return s, s.Phase, []versionRule{candidate, stable}
	default:
		return s, s.Phase, []versionRule{stable}
	}
}

// continues reports whether a stream of a service may go on at the version that began it, with the
// service's rollout if it has or had one. A version that gets nothing more gets no such streams either. A
// send to the candidate in the canary phase has been taken from the exposure.
func (r *rollouts) continues(service, version string) (s *serviceRollout, phase rollout.Phase, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.byService[service]; s == nil {
		return nil, 0, true
	}
	switch {
	case slices.Contains(s.Retired, version), version == s.To && s.Phase == rollout.RolledBack:
		return s, s.Phase, false
	case version != s.To || s.Phase.Ended():
		return s, s.Phase, true
	case !r.leased():
		return s, s.Phase, false
	default:
		return s, s.Phase, s.Phase != rollout.Canary || s.exposure.Allow()
	}
}

// drawnShare is the share of the requests for which the exposure is asked. It allows sends at even steps:
// without a draw, a service whose routes are called in turn could have a route that never reaches the
// candidate, and whose fault shows only when all requests do.
const drawnShare = 0.5

// reports returns the samples of the rollouts in progress, for the control replicas.
func (r *rollouts) reports() (list []api.RolloutReport) {
	if !r.known.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byService {
		if s.Phase.Ended() {
			continue
		}
		report := api.RolloutReport{ID: s.ID, Service: s.Service}
		for _, sample := range s.samples {
			report.Routes = append(report.Routes, *sample)
		}
		list = append(list, report)
	}
	return list
}

// limitWait shortens the time for which a replica may hold a call while a rollout is in progress, so
// that the next reply comes within the lease.
func (r *rollouts) limitWait(wait time.Duration) time.Duration {
	if !r.known.Load() {
		return wait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byService {
		if !s.Phase.Ended() {
			return min(wait, rollout.LeaseTime(r.limits)*leaseWaitTenths/10)
		}
	}
	return wait
}

// leaseWaitTenths is how many tenths of the lease a replica may hold a call.
const leaseWaitTenths = 8
