// Package suspect counts the backend servers that were gone after a request had broken off on
// them, so that one that crashes each server which runs it is not sent on to the next.
//
// Load pattern: a caller sends the same request again and again, and each server that runs it
// ends without an answer.
//
// Without it every one of the caller's attempts takes as many servers as the request's route
// allows attempts.
//
// The package does no I/O and reads no clock. Set is not safe for concurrent use.
package suspect

import "time"

const (
	// MaxServers is the number of servers on which a request may break off before it is not
	// repeated any more.
	MaxServers = 3
	// TTL is how long a request is remembered after it last broke off.
	TTL = time.Minute
	// maxRequests bounds the memory of a Set: while servers are lost, many requests break off
	// that have nothing to do with it.
	maxRequests = 10_000
	// keptRequests is how many are kept when there are too many, so that room is not made for
	// each of them.
	keptRequests = maxRequests / 2
)

// Server is an incarnation of a backend server.
type Server struct {
	ID          string
	Incarnation uint64
}

// Set holds requests that broke off, by fingerprint.
type Set struct {
	requests map[uint64]*record
}

// record holds the servers on which a request broke off, at most MaxServers.
type record struct {
	servers []Server
	lastAt  time.Time
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{requests: make(map[uint64]*record)} }

// RecordBreak records that a request broke off on a server, and returns on how many servers it
// has, counting up to MaxServers.
func (s *Set) RecordBreak(fingerprint uint64, server Server, now time.Time) int {
	r := s.requests[fingerprint]
	if r == nil || now.Sub(r.lastAt) > TTL {
		s.makeRoom(now)
		r = &record{}
		s.requests[fingerprint] = r
	}
	r.lastAt = now
	for _, known := range r.servers {
		if known == server {
			return len(r.servers)
		}
	}
	if len(r.servers) < MaxServers {
		r.servers = append(r.servers, server)
	}
	return len(r.servers)
}

// RecordAnswer records that a server has answered a request, so that it doesn't crash servers. It
// reports whether the request was held.
func (s *Set) RecordAnswer(fingerprint uint64) bool {
	_, held := s.requests[fingerprint]
	delete(s.requests, fingerprint)
	return held
}

// Empty reports whether no request is held.
func (s *Set) Empty() bool { return len(s.requests) == 0 }

// Expire drops the requests that have not broken off for TTL.
func (s *Set) Expire(now time.Time) {
	for fingerprint, r := range s.requests {
		if now.Sub(r.lastAt) > TTL {
			delete(s.requests, fingerprint)
		}
	}
}

// makeRoom drops requests if there are too many: expired ones, then those that broke off on few
// servers.
func (s *Set) makeRoom(now time.Time) {
	if len(s.requests) < maxRequests {
		return
	}
	s.Expire(now)
	for fingerprint, r := range s.requests {
		if len(s.requests) <= keptRequests {
			return
		}
		if len(r.servers) < MaxServers {
			delete(s.requests, fingerprint)
		}
	}
}
