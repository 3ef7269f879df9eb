package directory

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Server is a backend server as one process passes it on to another.
type Server struct {
	instance.Announcement `msgpack:"a"`

	// HeartbeatAge is how long before the message the last heartbeat came, and Overdue
	// says that it came too long ago for a server that is well.
	HeartbeatAge time.Duration `msgpack:"ago"`
	Overdue      bool          `msgpack:"unheard"`

	// Unreachable says that the server is taken to be lost: at a replica, that it is
	// unheard while most other replicas are in touch; at any other process, that
	// silenceOf says so.
	Unreachable bool `msgpack:"silent"`
}

// Entry is an entry of the system.
type Entry struct {
	Name         string         `msgpack:"name"`
	Incarnation  uint64         `msgpack:"inc"` // Unix milliseconds of its start
	Sequence     uint64         `msgpack:"seq"` // one more at each change of State
	State        instance.State `msgpack:"state"`
	Address      string         `msgpack:"addr"` // host:port for callers
	Zone         string         `msgpack:"zone"`
	Region       string         `msgpack:"region"`
	HeartbeatAge time.Duration  `msgpack:"ago"`
}

// version orders the records of one id.
type version struct {
	incarnation uint64
	state       int
	sequence    uint64
}

// stateOrder makes a leave final within an incarnation. A heartbeat that was
// sent before the leave and arrives after it would otherwise bring the server
// back, and requests would be sent to it until it is gone.
func stateOrder(s instance.State) int {
	switch s {
	case instance.StateServing:
		return 0
	case instance.StateLeaving:
		return 1
	default:
		return 2
	}
}

func (v version) newerThan(o version) bool {
	if v.incarnation != o.incarnation {
		return v.incarnation > o.incarnation
	}
	if v.state != o.state {
		return v.state > o.state
	}
	return v.sequence > o.sequence
}

func (s *Server) version() version {
	return version{s.Incarnation, stateOrder(s.State), s.Sequence}
}

func (e *Entry) version() version {
	return version{e.Incarnation, stateOrder(e.State), e.Sequence}
}

// Classes of backend servers, by how they are paid for.
const (
	ClassOnDemand    = "on-demand"
	ClassReclaimable = "reclaimable"
)
