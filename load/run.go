package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

// Run sends the configured load and returns the measurements. It returns after
// Duration plus Drain at the latest, or when ctx is done. Requests that have not
// started by then count as Unstarted and those still running as Broken, so that
// the result covers every scheduled request. The error is not nil only if cfg is
// invalid.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	r := newRunner(cfg)
	defer r.caller.client.CloseIdleConnections()
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(cfg.Duration+cfg.Drain))
	defer cancel()
	r.run(ctx, started)
	return r.result(started, time.Since(started)), nil
}

// runner holds the state of one run.
type runner struct {
	cfg         Config
	caller      *caller
	schedule    []arrival
	nextArrival atomic.Int64 // index into schedule
	tallies     []*tally     // by part
}

func newRunner(cfg Config) *runner {
	client := newClient(cfg.MaxInFlight)
	r := &runner{
		cfg:      cfg,
		schedule: newSchedule(cfg),
		caller: &caller{
			cfg:     cfg,
			runID:   uuid.NewString(),
			client:  client,
			entries: newEntryCache(client, cfg.Dialect, cfg.Entries),
		},
	}
	for _, p := range cfg.Parts {
		r.tallies = append(r.tallies, newTally(p, cfg.Duration))
	}
	return r
}

// run starts up to MaxInFlight callers and waits until the schedule is done. Each
// caller takes the next arrival and sleeps until its intended start. If all callers
// are busy, requests start late; this lag is part of their latency.
func (r *runner) run(ctx context.Context, started time.Time) {
	var callers sync.WaitGroup
	for range min(r.cfg.MaxInFlight, len(r.schedule)) {
		callers.Go(func() { r.runCaller(ctx, started) })
	}
	callers.Wait()
}

func (r *runner) runCaller(ctx context.Context, started time.Time) {
	for {
		i := int(r.nextArrival.Add(1)) - 1
		if i >= len(r.schedule) {
			return
		}
		a := r.schedule[i]
		intendedStart := started.Add(a.at)
		result := callResult{outcome: Unstarted}
		if sleepUntil(ctx, intendedStart) {
			result = r.caller.call(ctx, a, intendedStart)
		}
		r.tallies[a.part].add(a.at, result)
	}
}

// sleepUntil sleeps until the given time. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) result(started time.Time, elapsed time.Duration) *Result {
	res := &Result{
		Started: started.UTC(),
		Seconds: r.cfg.Duration.Seconds(),
		Elapsed: elapsed.Seconds(),
		Seed:    r.cfg.Seed,
		Rate:    r.cfg.Rate,
	}
	total := newTally(Part{Name: "total"}, r.cfg.Duration)
	for _, t := range r.tallies {
		res.Parts = append(res.Parts, t.result(elapsed))
		total.merge(t)
	}
	res.Total = total.result(elapsed)
	res.Timeline = total.timeline()
	return res
}
