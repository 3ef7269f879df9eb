// Package suspect finds requests that crash each backend server which runs them, and bounds how
// often they run.
//
// Load pattern: a caller sends the same request again and again, through any entry, and each
// server that runs it ends without an answer.
//
// Without it every resend takes a server, and the requests beside it on that server.
//
// A Set counts the servers that were gone after a request had broken off on them. A request that
// broke off on Threshold servers since a server last answered it is a suspect, and from then on
// each send of it needs a trial. Trials, held by one replicated state machine for all entries,
// grants them: at most MaxTrials until a server answers the request.
//
// Sets of several processes converge by exchanging their records, in any order and more than once.
//
// The package does no I/O and reads no clock. Set and Trials are not safe for concurrent use.
package suspect

import (
	"maps"
	"slices"
	"time"
)

const (
	// Threshold is the number of servers on which a request breaks off before it is a suspect. One
	// crash has many causes, and breaks off every request on its server.
	Threshold = 2
	// TTL is how long a request is remembered after it last broke off.
	TTL = time.Hour
	// maxServers bounds a record. It exceeds Threshold, so that servers that are lost for another
	// cause don't fill it.
	maxServers = 8
	// maxRequests bounds the memory of a Set: while servers are lost, many requests break off
	// that have nothing to do with it.
	maxRequests = 10_000
	// keptRequests is how many are kept when there are too many, so that room is not made for
	// each of them.
	keptRequests = maxRequests / 2
)

// Server is an incarnation of a backend server.
type Server struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	ID          string
	Incarnation uint64
}

// Record is what one process knows of a request. It carries ages, since the clocks of processes
// differ: a receiver counts them from its own time.
type Record struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Fingerprint uint64
	Breaks      []Break
	Answered    bool
	AnsweredAge time.Duration // since a server last answered the request, if Answered
}

// Break is a server that was gone after a request had broken off on it.
type Break struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Server Server
	Age    time.Duration
}

// Set holds requests that broke off, by fingerprint.
type Set struct {
	requests map[uint64]*request
	version  uint64 // number of changes
}

type request struct {
	part       bool
	breaks     map[Server]time.Time
	answeredAt time.Time // zero: not known; of a part also before the first break
	changed    uint64    // Set.version at the last change
}

func newRequest(fingerprint uint64) *request {
	return &request{part: isPart(fingerprint), breaks: make(map[Server]time.Time)}
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{requests: make(map[uint64]*request)} }

// RecordBreak records that a request broke off on a server that is gone since.
func (s *Set) RecordBreak(fingerprint uint64, server Server, now time.Time) {
	s.recordBreak(fingerprint, server, time.Time{}, now)
}

// recordBreak is RecordBreak of a property that was answered at a time before; zero if that is not known.
func (s *Set) recordBreak(fingerprint uint64, server Server, answeredAt, now time.Time) {
	s.merge(fingerprint, map[Server]time.Time{server: now}, answeredAt, now)
}

// RecordAnswer records that a server has answered a request, so that it doesn't crash servers. It
// reports whether that changed anything.
func (s *Set) RecordAnswer(fingerprint uint64, now time.Time) bool {
	r := s.requests[fingerprint]
	if r == nil || r.count() == 0 {
		return false
	}
	r.answeredAt = now
	s.markChanged(r)
	return true
}

// Merge merges the records of another process and reports whether they changed anything.
func (s *Set) Merge(records []Record, now time.Time) bool {
	before := s.version
	for i := range records {
		r := &records[i]
		breaks := make(map[Server]time.Time, len(r.Breaks))
		for _, b := range r.Breaks {
			breaks[b.Server] = now.Add(-max(b.Age, 0))
		}
		var answeredAt time.Time
		if r.Answered {
			answeredAt = now.Add(-max(r.AnsweredAge, 0))
		}
		s.merge(r.Fingerprint, breaks, answeredAt, now)
	}
	return s.version != before
}

// merge adds what is known of a request. Of two times of one break the earlier one counts: a record
// that is passed on gets later with each transfer, and would never expire.
func (s *Set) merge(fingerprint uint64, breaks map[Server]time.Time, answeredAt, now time.Time) {
	r := s.requests[fingerprint]
	for server, at := range breaks {
		if now.Sub(at) > TTL {
			continue
		}
		if r == nil {
			s.makeRoom(now)
			r = newRequest(fingerprint)
			s.requests[fingerprint] = r
		}
		known, exists := r.breaks[server]
		switch {
		case !exists && len(r.breaks) >= maxServers:
		case !exists:
			r.breaks[server] = at
			s.markChanged(r)
		case at.Before(known):
			r.breaks[server] = at
		}
	}
	if r != nil && answeredAt.After(r.answeredAt) {
		r.merge(answeredAt, s)
	}
}

// merge applies a later answer, which counts if it clears breaks or is the first that proves a part.
func (r *request) merge(answeredAt time.Time, s *Set) {
	clears := r.countAt(answeredAt) < r.count()
	if !clears && !r.part {
		return
	}
	if clears || r.answeredAt.IsZero() {
		s.markChanged(r)
	}
	r.answeredAt = answeredAt
}

// Suspect reports whether the request may be what ends servers.
func (s *Set) Suspect(fingerprint uint64) bool {
	r := s.requests[fingerprint]
	return r != nil && r.suspect()
}

// Answered reports whether the request is held and a server has answered it since it became a
// suspect, if it did.
func (s *Set) Answered(fingerprint uint64) bool {
	r := s.requests[fingerprint]
	return r != nil && !r.answeredAt.IsZero() && !r.suspect()
}

// Suspects returns the fingerprints of all suspects, sorted.
func (s *Set) Suspects() []uint64 {
	var list []uint64
	for fingerprint, r := range s.requests {
		if r.suspect() {
			list = append(list, fingerprint)
		}
	}
	slices.Sort(list)
	return list
}

// Since returns at most limit records that changed after version, in the order of their changes,
// and the version to pass to the next call.
func (s *Set) Since(version uint64, limit int, now time.Time) ([]Record, uint64) {
	if version >= s.version {
		return nil, version
	}
	var changed []uint64
	for fingerprint, r := range s.requests {
		if r.changed > version {
			changed = append(changed, fingerprint)
		}
	}
	slices.SortFunc(changed, func(a, b uint64) int { return int(s.requests[a].changed) - int(s.requests[b].changed) })
	if len(changed) <= limit {
		version = s.version
	} else {
		changed = changed[:limit]
		version = s.requests[changed[limit-1]].changed
	}
	records := make([]Record, 0, len(changed))
	for _, fingerprint := range changed {
		records = append(records, s.requests[fingerprint].record(fingerprint, now))
	}
	return records, version
}

// Version returns a number that increases with each change of a record.
func (s *Set) Version() uint64 { return s.version }

// Empty reports whether no request is held.
func (s *Set) Empty() bool { return len(s.requests) == 0 }

// Expire drops the requests that have not broken off for TTL.
func (s *Set) Expire(now time.Time) {
	before := len(s.requests)
	maps.DeleteFunc(s.requests, func(_ uint64, r *request) bool { return now.Sub(r.lastBreak()) > TTL })
	if len(s.requests) < before {
		s.version++
	}
}

// makeRoom drops requests if there are too many: expired ones, then those that are no suspects.
func (s *Set) makeRoom(now time.Time) {
	if len(s.requests) < maxRequests {
		return
	}
	s.Expire(now)
	for fingerprint, r := range s.requests {
		if len(s.requests) <= keptRequests {
			return
		}
		if !r.suspect() {
			delete(s.requests, fingerprint)
		}
	}
}

func (s *Set) markChanged(r *request) {
	s.version++
	r.changed = s.version
}

// count returns the number of servers on which the request broke off since it was last answered; of a
// part, those that ended separately.
func (r *request) count() int { return r.countAt(r.answeredAt) }

// countAt returns what count would be if the request had last been answered at a time.
func (r *request) countAt(answeredAt time.Time) (n int) {
	if r.part {
		return countSeparate(r.breaksAfter(answeredAt))
	}
	for _, at := range r.breaks {
		if at.After(answeredAt) {
			n++
		}
	}
	return n
}

func (r *request) lastBreak() (last time.Time) {
	for _, at := range r.breaks {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (r *request) record(fingerprint uint64, now time.Time) Record {
	out := Record{Fingerprint: fingerprint, Answered: !r.answeredAt.IsZero()}
	if out.Answered {
		out.AnsweredAge = now.Sub(r.answeredAt)
	}
	for server, at := range r.breaks {
		out.Breaks = append(out.Breaks, Break{Server: server, Age: now.Sub(at)})
	}
	return out
}
