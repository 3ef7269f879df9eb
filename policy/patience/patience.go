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
	// usualPart and upperPart say which of the callers stand for those at their first
	// try: so many of them have less time left. The lowest ones have come back.
	usualPart = 0.3
	upperPart = 0.7
	// beyond is how far below the usual time the least patient callers are taken to lie,
	// in parts of the distance between usual and upper. Where callers differ evenly it is
	// 0.75; with less, those that came back soonest are told as well.
	beyond = 0.55
	// step is by which part of itself the usual time moves with each request. It settles
	// within some hundred and passes over a burst of callers that come back.
	step = 0.005
	// lateStep is the part of a step by which those move it that are taken to have come
	// back. They must not pull it down to where they pass for fresh ones; where all
	// callers wait less than before, it is found within some thousand requests.
	lateStep = 0.2
)

// Estimator holds how long callers usually wait, by route.
type Estimator struct {
	routes map[string]*callers
}

// callers is how long those of one route wait, from their first try.
type callers struct {
	usual, upper time.Duration
}

// least is what the least patient caller at its first try has left. Where callers differ
// by more than their objective, as with long answers, one that waits less than most is
// no sign that it has come back.
func (c *callers) least() time.Duration {
	return c.usual - time.Duration(beyond*float64(max(c.upper-c.usual, 0)))
}

// NewEstimator returns an Estimator that knows no route.
func NewEstimator() *Estimator { return &Estimator{routes: make(map[string]*callers)} }

// ObjectivePassed takes a request's time left and reports whether its objective has passed since
// the caller's first try, as far as that can be told. 0 left: the caller does not say.
func (b *Estimator) ObjectivePassed(route string, left, objective time.Duration) bool {
	if left <= 0 {
		return false
	}
	c := b.routes[route]
	if c == nil {
		b.routes[route] = &callers{usual: left, upper: left}
		return false
	}
	if left+objective < c.least() {
		c.shift(-step * lateStep * (1 - usualPart))
		return true
	}
	c.usual = towards(c.usual, left, usualPart)
	c.upper = towards(c.upper, left, upperPart)
	return false
}

// shift moves both by a part of the usual time.
func (c *callers) shift(part float64) {
	move := time.Duration(part * float64(c.usual))
	c.usual += move
	c.upper += move
}

// towards moves a quantile by a step: up where a value is above it, down where it is
// below, so that it settles where this part of the values is below.
func towards(quantile, value time.Duration, part float64) time.Duration {
	move := step * part
	if value < quantile {
		move = -step * (1 - part)
	}
	return quantile + time.Duration(move*float64(quantile))
}

// Retain drops all routes but these.
func (b *Estimator) Retain(routes map[string]bool) {
	for name := range b.routes {
		if !routes[name] {
			delete(b.routes, name)
		}
	}
}
