package directory

import (
	"time"

	"savoryreel.example/savoryreel/instance"
)

// Server is the record of a backend server, as processes send it to each other.
type Server struct {
	instance.Announcement `msgpack:"a"`

	// HeartbeatAge is the age of the last heartbeat when the record was sent. Overdue reports
	// that a replica has received no heartbeat for longer than Config.OverdueAfter.
	HeartbeatAge time.Duration `msgpack:"ago"`
	Overdue      bool          `msgpack:"unheard"`

	// Unreachable reports that the server is judged unreachable. At a replica: it is overdue,
	// and the replica was in contact with most other replicas or another replica reported it
	// unreachable. At any other process: see Store.unreachableByReports.
	Unreachable bool `msgpack:"silent"`

	// Unstated reports, of a server that is gone, that it did not say which start of it has left and
	// that the sender knew none. Whichever the receiver knew before has left.
	Unstated bool `msgpack:"unstated"`

	// StateFrom is the link address of the replica that State was learned from, empty if this
	// process received it from the server, and StateAt when. They are not sent.
	StateFrom string    `msgpack:"-"`
	StateAt   time.Time `msgpack:"-"`
}

// Entry is the record of an entry.
type Entry struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Name         string         `msgpack:"name"`
	Incarnation  uint64         `msgpack:"inc"` // start time in Unix milliseconds
	Sequence     uint64         `msgpack:"seq"` // increases by one at each change of State
	State        instance.State `msgpack:"state"`
	Address      string         `msgpack:"addr"` // host:port at which callers reach it
	Zone         string         `msgpack:"zone"`
	Region       string         `msgpack:"region"`
	HeartbeatAge time.Duration  `msgpack:"ago"`
}

// version orders the records of one server or entry; see newerThan.
type version struct {
	incarnation uint64
	state       int
	sequence    uint64
}

// stateOrder orders states so that leaving is final within an incarnation. Otherwise a
// heartbeat that was sent before the leave and arrives after it would return the server to
// serving, and requests would be sent to a server that is about to end.
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

// newerThan compares incarnation, then state, then sequence.
func (v version) newerThan(o version) bool {
	if v.incarnation != o.incarnation {
		return v.incarnation > o.incarnation
	}
	if v.state != o.state {
		return v.state > o.state
	}
	return v.sequence > o.sequence
}

// Key returns the key of this incarnation of the server.
func (s *Server) Key() Key { return keyOf(s.ID, s.Incarnation) }

func (s *Server) version() version {
	return version{s.Incarnation, stateOrder(s.State), s.Sequence}
}

func (e *Entry) version() version {
	return version{e.Incarnation, stateOrder(e.State), e.Sequence}
}

// Classes of backend servers, by purchase option.
const (
	ClassOnDemand    = "on-demand"
	ClassReclaimable = "reclaimable"
)
