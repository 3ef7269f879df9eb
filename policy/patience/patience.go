// Package patience tells a caller's first try from one that comes back, by how long
// the caller still waits.
//
// Load pattern answered: a workspace sends more than its limit for a while, and those
// that are refused come back a second later, among fresh requests.
//
// Without it whoever is there when the limit has room is let in. Half of them have come
// back, are late already, and take the room in which a fresh request would have been
// answered in time, which then comes back late in its turn: of a workspace's answers
// under a surge hardly any is in time, though as many are given.
//
// Callers wait for about the same time on each route, counted from their first try, and
// say how long is left. One that has much less left than most is not at its first try.
//
// The package does no I/O and reads no clock. An Estimator is not safe for concurrent use.
package patience

import (
	"time"
)

const (
	// lowerLevel and upperPart say which of the callers stand for those at their first
	// try: so many of them have less time left. The lowest ones have come back.
	lowerLevel = 0.3
	upperLevel = 0.7
	// extrapolationFactor is how far below the usual time the least patient callers are taken to lie,
	// in parts of the distance between usual and upper. Where callers differ evenly it is
	// 0.75; with less, those that came back soonest are told as well.
	extrapolationFactor = 0.55
	// stepFraction is by which part of itself the usual time moves with each request. It settles
	// within some hundred and passes over a burst of callers that come back.
	stepFraction = 0.005
	// lateStepFactor is the part of a step by which those move it that are taken to have come
	// back. They must not pull it down to where they pass for fresh ones; where all
	// callers wait less than before, it is found within some thousand requests.
	lateStepFactor = 0.2
)

// Estimator holds how long callers usually wait, by route.
type Estimator struct {
	routes map[string]*routeEstimate
}

// routeEstimate is how long those of one route wait, from their first try.
type routeEstimate struct {
	lower, upper time.Duration
}

// minFirstTry is what the minFirstTry patient caller at its first try has left. Where callers differ
// by more than their objective, as with long answers, one that waits less than most is
// no sign that it has come back.
func (c *routeEstimate) minFirstTry() time.Duration {
	return c.lower - time.Duration(extrapolationFactor*float64(max(c.upper-c.lower, 0)))
}

// NewEstimator returns an Estimator that knows no route.
func NewEstimator() *Estimator { return &Estimator{routes: make(map[string]*routeEstimate)} }

// ObjectivePassed takes a request's time left and reports whether its objective has passed since
// the caller's first try, as far as that can be told. 0 left: the caller does not say.
func (b *Estimator) ObjectivePassed(route string, remaining, objective time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	c := b.routes[route]
	if c == nil {
		b.routes[route] = &routeEstimate{lower: remaining, upper: remaining}
		return false
	}
	if remaining+objective < c.minFirstTry() {
		c.shift(-stepFraction * lateStepFactor * (1 - lowerLevel))
		return true
	}
	c.lower = stepQuantile(c.lower, remaining, lowerLevel)
	c.upper = stepQuantile(c.upper, remaining, upperLevel)
	return false
}

// shift moves both by a part of the usual time.
func (c *routeEstimate) shift(change float64) {
	delta := time.Duration(change * float64(c.lower))
	c.lower += delta
	c.upper += delta
}

// stepQuantile moves a quantile by a step: up where a value is above it, down where it is
// below, so that it settles where this part of the values is below.
func stepQuantile(estimate, value time.Duration, level float64) time.Duration {
	change := stepFraction * level
	if value < estimate {
		change = -stepFraction * (1 - level)
	}
	return estimate + time.Duration(change*float64(estimate))
}

// Retain drops all routes but these.
func (b *Estimator) Retain(routes map[string]bool) {
	for name := range b.routes {
		if !routes[name] {
			delete(b.routes, name)
		}
	}
}
