package retry

import "time"

const (
	// ObserveInterval is how often the owner of a Policy calls Observe.
	ObserveInterval = 500 * time.Millisecond
	// minPause is the time between two calls of Observe from which on the process is taken to
	// have stood still.
	minPause = 2 * ObserveInterval
	// backlogTime is how long after a pause requests are read that arrived before its end.
	backlogTime = time.Second
)

// pauses detects that the process stood still, for example because its instance was suspended.
//
// Requests that arrived meanwhile are read at once when it goes on. Counted at that time, they
// would allow repeats of requests that arrived windows ago.
type pauses struct {
	observedAt time.Time
	pausedAt   time.Time // start of the last pause
	resumedAt  time.Time // end of it, as observed
}

func (p *pauses) observe(now time.Time) {
	if !p.observedAt.IsZero() && now.Sub(p.observedAt) >= minPause {
		p.pausedAt, p.resumedAt = p.observedAt, now
	}
	p.observedAt = now
}

// earliestArrival returns the earliest time at which a request that is read now may have
// arrived.
func (p *pauses) earliestArrival(now time.Time) time.Time {
	switch {
	case !p.observedAt.IsZero() && now.Sub(p.observedAt) >= minPause:
		return p.observedAt
	case !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < backlogTime:
		return p.pausedAt
	default:
		return now
	}
}
