// Package path decides whether an entry has lost its own path to the backend servers.
//
// Load pattern: an entry is partitioned from all backend servers, while its callers, the control
// replicas and other entries reach it. Its connections to servers hang, are reset, or live on while
// new ones are refused.
//
// Without it the entry takes what it can't reach for gone: it refuses its callers, and others learn
// from it that servers are down and that requests crash them.
//
// A connection that fails says nothing by itself, since servers fail too. A Tracker asks for a check
// when several signs of the entry's own path are missing. The check compares: if another entry gets
// answers from servers that don't answer here, the path is lost; if a server answers here, it is not;
// if none answers either, nothing follows. A lost path counts as restored when servers answer again on
// new connections.
//
// The package does no I/O and reads no clock. Tracker is not safe for concurrent use.
package path

import (
	"slices"
	"time"
)

const (
	// SilenceLimit is how long a request has to wait for the first byte, and every other connection
	// has to be silent, before servers are asked for a sign.
	SilenceLimit = 400 * time.Millisecond
	// answerCheckInterval is the least time between two checks whether servers answer: while servers
	// are slow or fail, each request would ask for one.
	answerCheckInterval = time.Second
	// dialEvidenceTTL is how long a connection that was opened shows that others can be.
	dialEvidenceTTL = 250 * time.Millisecond
	// maxBrokenServers is the number of servers whose connections break off, with nothing received
	// from any in between, before a check: one server that crashes breaks off many.
	maxBrokenServers = 2
	// answersToRestore is how many servers must answer on new connections until a lost path counts
	// as restored. One may be the last that a partition has not cut off yet.
	answersToRestore = 2
)

// Outcome is the result of a check.
type Outcome uint8

// The outcomes of a check.
const (
	Unknown Outcome = iota // no server answers, whichever way
	Sound                  // a server answers on a connection of this entry
	Lost                   // servers answer through other entries only
)

var outcomeNames = [...]string{Unknown: "unknown", Sound: "sound", Lost: "lost"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Tracker holds the signs of an entry's own path to the backend servers.
type Tracker struct {
	dialledAt time.Time // last connection to a server that was opened
	heardAt   time.Time // last byte of a server
	heardNew  time.Time // last first byte on a connection
	checkedAt time.Time // last check whether servers answer
	// broken holds the servers whose connections broke off before an answer began, since the last byte of any
	// server. brokenNew holds those of new connections only, since the last byte on a new connection.
	broken, brokenNew map[string]struct{}

	lost     bool
	answered int // probes in a row that were answered while the path was lost
}

// NewTracker returns a Tracker of a path that is sound.
func NewTracker() *Tracker {
	return &Tracker{broken: make(map[string]struct{}), brokenNew: make(map[string]struct{})}
}

// Lost reports whether the path is lost.
func (t *Tracker) Lost() bool { return t.lost }

// SilentForLimit reports whether no byte of a server has arrived for SilenceLimit.
func (t *Tracker) SilentForLimit(now time.Time) bool { return now.Sub(t.heardAt) >= SilenceLimit }

// Dialled records that a connection to a server was opened.
func (t *Tracker) Dialled(now time.Time) { t.dialledAt = now }

// Heard records bytes of a server. isNew: they are the first on their connection: open
// connections may live on while new ones fail.
func (t *Tracker) Heard(isNew bool, now time.Time) {
	t.heardAt = now
	clear(t.broken)
	if isNew {
		t.heardNew = now
		clear(t.brokenNew)
	}
}

// DialFailed reports whether a check is needed after a connection to a server, begun at a time, could
// not be opened. It is not while others are opened; strictly, only those count on which bytes arrived
// since then: a connection may be opened and reset.
func (t *Tracker) DialFailed(begun time.Time, strictly bool) bool {
	if strictly {
		return t.heardNew.Before(begun)
	}
	return t.dialledAt.Before(begun.Add(-dialEvidenceTTL))
}

// BrokeOff records that a connection to a server broke off before an answer began, and reports whether
// a check is needed. isNew: the connection had carried no answer before.
func (t *Tracker) BrokeOff(server string, isNew bool, now time.Time) bool {
	t.broken[server] = struct{}{}
	if isNew {
		t.brokenNew[server] = struct{}{}
	}
	if len(t.broken) < maxBrokenServers && len(t.brokenNew) < maxBrokenServers || !t.mayCheck(now) {
		return false
	}
	clear(t.broken)
	clear(t.brokenNew)
	return true
}

// mayCheck reports whether servers may be asked for answers, and counts it if so.
func (t *Tracker) mayCheck(now time.Time) bool {
	if t.lost || now.Sub(t.checkedAt) < answerCheckInterval {
		return false
	}
	t.checkedAt = now
	return true
}

// Silent reports whether a check is needed for a request that was sent at a time and has no byte of
// an answer for SilenceLimit.
func (t *Tracker) Silent(sentAt, now time.Time) bool {
	return !t.heardAt.After(sentAt) && t.mayCheck(now)
}

// Conclude records the outcome of a check, and reports whether the path has got lost by it.
func (t *Tracker) Conclude(o Outcome) (changed bool) {
	if o != Lost || t.lost {
		return false
	}
	t.lost, t.answered = true, 0
	return true
}

// Probed records whether a server has answered a probe on a new connection while the path was lost,
// and reports whether the path is restored by it.
func (t *Tracker) Probed(answered bool) (changed bool) {
	if !t.lost {
		return false
	}
	if !answered {
		t.answered = 0
		return false
	}
	if t.answered++; t.answered < answersToRestore {
		return false
	}
	t.lost = false
	clear(t.broken)
	clear(t.brokenNew)
	return true
}

// Peer is another entry through which servers may be reached.
type Peer struct {
	Name    string
	Zone    string
	Address string
}

// Order sorts peers by how soon they should be asked to open a connection to a server of a zone: those
// in the server's zone come first, since the bytes then cross zones no more often than without the
// detour. Within each group the order is the one given. avoid reports peers that come last.
func Order(peers []Peer, serverZone string, avoid func(Peer) bool) []Peer {
	const groups = 4
	var byGroup [groups][]Peer
	for _, p := range peers {
		g := 0
		if p.Zone != serverZone {
			g = 1
		}
		if avoid(p) {
			g += groups / 2
		}
		byGroup[g] = append(byGroup[g], p)
	}
	return slices.Concat(byGroup[:]...)
}

// ZoneLast sorts those peers last that are in a zone, and keeps their order otherwise: where one entry is
// cut off from servers, the others of its zone often are.
func ZoneLast(peers []Peer, zone string) []Peer {
	var others, last []Peer
	for _, p := range peers {
		if p.Zone == zone {
			last = append(last, p)
		} else {
			others = append(others, p)
		}
	}
	return append(others, last...)
}
