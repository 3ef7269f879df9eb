// Package room decides which requests are sent while the servers of a service have too little
// room for all of them.
//
// Load pattern: the servers of whole data centres are reclaimed within seconds, or demand
// surges, and the next servers come seconds later.
//
// Without it every request is sent. All servers fill up evenly, every request waits as long as
// all others, and nearly all answers are late, although the servers could answer most of the
// requests in time.
//
// While the chosen server has a free slot every request is sent. Otherwise a request is sent if it
// can still meet its objective and does not wait longer than requests of other routes may: urgent
// requests with a long objective would keep the queue so long that all others are late. The
// others are refused at once: they would be late, and delay those that are in time. Callers
// get a Retry-After for when servers are expected, spread over time.
//
// The package does no I/O and reads no clock.
package room

import "time"

// maxContendedSlots is the largest number of slots of a server that requests compete for. A server
// with more is short of time to read prompts before it is short of slots, and its own order of
// requests by urgency serves those that can be in time first.
const maxContendedSlots = 24

// Contended reports whether the requests of a service compete for the slots of its servers, which
// have this many each.
func Contended(slots int) bool { return slots > 0 && slots <= maxContendedSlots }

// Request is the part of a request that Decide needs.
type Request struct {
	InTime bool // the answer can meet its objective on the chosen server
	// Oversized says that the prompt alone takes longer than the objective. Such requests are
	// late on any server; if they were refused for that, the largest would starve.
	Oversized bool
	// ExpectedWait is the time until the first token, with the time since the request arrived.
	ExpectedWait time.Duration
	// PrefillTime is the part of ExpectedWait in which its own prompt is read.
	PrefillTime time.Duration
	// UrgentObjective is the shortest objective of the service's routes that are more urgent
	// than the request's; 0 if there is none.
	UrgentObjective time.Duration
	// LessUrgentObjective is the same of the routes that are less urgent.
	LessUrgentObjective time.Duration
	// LeastUrgent reports whether some routes of the service are more urgent than the
	// request's, and none is less urgent.
	LeastUrgent bool
	Draw        float64 // random, in [0, 1)
}

// Server is the chosen server as the entry knows it.
type Server struct {
	Load  int // requests that run or wait
	Slots int // requests that it runs at once; 0: not known
}

// full reports whether a further request has to wait until another one ends.
func (s Server) full() bool { return s.Slots > 0 && s.Load >= s.Slots }

// Decision says whether a request is sent.
type Decision uint8

// The decisions. All but Send refuse the request.
const (
	Send              Decision = iota
	RefuseLate                 // it would be late
	RefuseForUrgent            // it would wait longer than more urgent requests may
	RefuseForOthers            // it would wait longer than less urgent requests may
	RefuseLeastUrgent          // its route is the least urgent one
)

// Refused reports whether the request is refused.
func (d Decision) Refused() bool { return d != Send }

// String returns the decision for logs and metrics.
func (d Decision) String() string {
	return [...]string{"send", "late", "leaves_room_to_urgent", "leaves_room_to_others", "least_urgent"}[d]
}

const (
	// urgentPart is the part of the objective of more urgent requests that a request may wait.
	urgentPart = 0.8
	// leastUrgentPart is the part of the least urgent requests that is sent to full servers, so
	// that their route does not starve in a long shortage.
	leastUrgentPart = 0.25
	// ownPromptPart is the part of a limit on the wait that a request's own prompt counts for at
	// most. Without it the largest prompts that can be in time are refused by every full server.
	ownPromptPart = 0.25
)

// exceeds reports whether the request would wait longer than limit.
func (r *Request) exceeds(limit time.Duration) bool {
	own := min(r.PrefillTime, time.Duration(ownPromptPart*float64(limit)))
	return r.ExpectedWait-r.PrefillTime+own > limit
}

// Decide returns whether to send a request to the server that was chosen for it.
func Decide(r Request, s Server) Decision {
	switch {
	case !s.full():
		return Send
	case !r.InTime && !r.Oversized:
		return RefuseLate
	case r.InTime && r.UrgentObjective > 0 && r.exceeds(time.Duration(urgentPart*float64(r.UrgentObjective))):
		return RefuseForUrgent
	case r.InTime && r.LessUrgentObjective > 0 && r.exceeds(r.LessUrgentObjective):
		return RefuseForOthers
	case r.LeastUrgent && r.Draw >= leastUrgentPart:
		return RefuseLeastUrgent
	default:
		return Send
	}
}
