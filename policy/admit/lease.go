package admit

import "time"

// Report is sent by an entry to the control leader about once a second. It
// covers all workspaces that have limits and are known to the entry.
type Report struct {
	Entry    string   `msgpack:"entry"`
	Term     uint64   `msgpack:"term"` // the leader's term, from its last reply
	Sequence uint64   `msgpack:"seq"`  // increases with each report of the entry
	Demands  []Demand `msgpack:"demands"`
}

// Demand is the demand of one workspace at one entry.
type Demand struct {
	Workspace string `msgpack:"ws"`
	Wanted    Amount `msgpack:"wanted"`  // recent demand, admitted or refused
	Running   int    `msgpack:"running"` // admitted requests, queued or running
	Held      Amount `msgpack:"held"`    // grant of the newest lease; zero if expired
	HasFloor  bool   `msgpack:"floor"`   // the entry has a floor that has not expired

	// Applied is the number of the newest applied lease if it is of the
	// report's term, else 0. The entry ignores any lease with a lower number.
	Applied uint64 `msgpack:"applied"`

	// LastLeaseConcurrency is the concurrency of the newest lease without its
	// floor, even if the lease has expired.
	LastLeaseConcurrency int `msgpack:"last"`
}

// Lease grants an entry a share of a workspace's limits. Its times are
// durations, so clocks need not be synchronized. The entry counts them from
// when it sent its report, the leader from when it received the report. A
// lease therefore expires at the entry before the leader treats its grant as
// free.
type Lease struct {
	Workspace string        `msgpack:"ws"`
	Term      uint64        `msgpack:"term"`
	Number    uint64        `msgpack:"num"`       // increases with each lease of a term
	Grant     Amount        `msgpack:"grant"`     // in force until TTL has passed; includes the floor
	TTL       time.Duration `msgpack:"ttl"`       // of Grant
	Floor     Amount        `msgpack:"floor"`     // in force after Grant has expired
	FloorTTL  time.Duration `msgpack:"floor_ttl"` // of Floor, counted from the same instant as TTL
}

// newer reports whether l replaces old: it has a higher term, or a higher
// number of the same term.
func (l Lease) newer(old Lease) bool {
	if l.Term != old.Term {
		return l.Term > old.Term
	}
	return l.Number > old.Number
}
