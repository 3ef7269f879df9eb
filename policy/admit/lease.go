package admit

import "time"

// Report is what an entry tells the control leader about once a second, for
// all workspaces that have limits and that it has seen or holds a lease of.
type Report struct {
	Entry    string   `msgpack:"entry"`
	Term     uint64   `msgpack:"term"` // of the leader it is meant for, as that leader gave it
	Sequence uint64   `msgpack:"seq"`  // one more at each report of this entry to this leader
	Demands  []Demand `msgpack:"demands"`
}

// Demand is one workspace's demand at one entry.
type Demand struct {
	Workspace string `msgpack:"ws"`
	Wanted    Amount `msgpack:"wanted"`  // offered lately, whether admitted or not
	Running   int    `msgpack:"running"` // admitted and not yet done
	Held      Amount `msgpack:"held"`    // of a lease that has not expired; else zero
	HasFloor  bool   `msgpack:"floor"`   // holds a floor that has not expired

	// Applied is the number of the newest lease applied, if it is of the
	// report's term, else 0. The entry will apply no older one.
	Applied uint64 `msgpack:"applied"`

	// LastLeaseConcurrency is that of the newest lease, its floor not included,
	// also after it has expired.
	LastLeaseConcurrency int `msgpack:"last"`
}

// Lease is an entry's part of a workspace's limits. Its times are durations so
// that no two clocks need agree: the entry counts from when it sent the report
// that the lease answers, the leader from when that report arrived, which is
// later. So at the entry a lease always ends before the leader counts it free.
type Lease struct {
	Workspace string        `msgpack:"ws"`
	Term      uint64        `msgpack:"term"`
	Number    uint64        `msgpack:"num"`       // rises with each lease of one term
	Grant     Amount        `msgpack:"grant"`     // while the lease lasts, the floor included
	TTL       time.Duration `msgpack:"ttl"`       // of Grant
	Floor     Amount        `msgpack:"floor"`     // after Grant has expired
	FloorTTL  time.Duration `msgpack:"floor_ttl"` // of Floor, from the same instant as TTL
}

// newer reports whether l replaces old.
func (l Lease) newer(old Lease) bool {
	if l.Term != old.Term {
		return l.Term > old.Term
	}
	return l.Number > old.Number
}
