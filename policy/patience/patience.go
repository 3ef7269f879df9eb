// Package patience detects retries of callers by the time that remains until their timeout.
//
// Load pattern: a workspace exceeds its limit for a while, and callers retry rejected
// requests a second later, among new ones. Without this package retries that are already
// late are admitted in place of new requests, which are rejected, retried and late as well:
// hardly any answer meets its objective.
//
// On one route most callers have about the same timeout, counted from their first attempt,
// and each request states the time that remains. A request with much less than the others
// is a retry.
//
// The package does no I/O and reads no clock. An Estimator is not safe for concurrent use.
package patience

import (
	"time"
)

const (
	// lowerLevel and upperLevel are the quantiles of the remaining time that are tracked.
	// Both are those of first attempts; retries lie below.
	lowerLevel = 0.3
	upperLevel = 0.7
	// extrapolationFactor sets the estimated minimum of first attempts: this many times the
	// distance between the quantiles below the lower one. For a uniform distribution it
	// would be 0.75; a lower value detects early retries as well.
	extrapolationFactor = 0.55
	// stepFraction is the relative step of an estimate with each request. It converges
	// within some hundred requests and is little affected by a burst of retries.
	stepFraction = 0.005
	// lateStepFactor scales the step for detected retries, so that they do not pull the
	// estimates down to their own values. If callers shorten their timeout, the
	// estimates still follow within some thousand requests.
	lateStepFactor = 0.2
)

// Estimator estimates, for each route, the remaining time of first attempts.
type Estimator struct {
	routes map[string]*routeEstimate
}

// routeEstimate holds two quantiles of the time that remains to first attempts.
type routeEstimate struct {
	lower, upper time.Duration
}

// minFirstTry returns the estimated minimum of the time that remains to first attempts.
// It lies below the lower quantile by a multiple of the spread, so that on routes whose
// timeouts vary widely a short one is not taken for a retry.
func (c *routeEstimate) minFirstTry() time.Duration {
	return c.lower - time.Duration(extrapolationFactor*float64(max(c.upper-c.lower, 0)))
}

// NewEstimator returns an Estimator without routes.
func NewEstimator() *Estimator { return &Estimator{routes: make(map[string]*routeEstimate)} }

// ObjectivePassed reports whether the objective of a request has probably passed since its
// caller's first attempt, and updates the route's estimate. remaining is the time until
// the caller's timeout; 0 means unknown, and the result is then false.
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

// shift moves both quantiles by change times the lower one.
func (c *routeEstimate) shift(change float64) {
	delta := time.Duration(change * float64(c.lower))
	c.lower += delta
	c.upper += delta
}

// stepQuantile returns estimate moved one step towards value. Steps up and down are
// weighted so that the estimate converges to the quantile at level.
func stepQuantile(estimate, value time.Duration, level float64) time.Duration {
	change := stepFraction * level
	if value < estimate {
		change = -stepFraction * (1 - level)
	}
	return estimate + time.Duration(change*float64(estimate))
}

// Retain drops the estimates of all routes but these.
func (b *Estimator) Retain(routes map[string]bool) {
	for name := range b.routes {
		if !routes[name] {
			delete(b.routes, name)
		}
	}
}
