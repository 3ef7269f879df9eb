package booking

import "time"

const (
	// turnAwayWindow is the time in which a brittle server counts the requests that it turns away.
	turnAwayWindow = time.Second
	// recoveryInterval is the time without a request turned away after which a server is trusted with
	// one more.
	recoveryInterval = 4 * time.Second
	// SettleTime is how long an entry that begins to own a server grants nothing: the other entries
	// report their load on it once a second.
	SettleTime = 1200 * time.Millisecond
	// waitingPlaces is how many requests may wait at a server that bears minBrittleToWait or more that
	// it turns away in a second. One that waits keeps the server busy until the next can be sent.
	waitingPlaces    = 1
	minBrittleToWait = 2
)

// Places decides, at the owner of a brittle server, whether the server has room for one more request. A
// brittle server falls over if it has to turn away too many requests within a second.
//
// Load pattern: more requests than a service can run, from many entries, of which each sees its own.
//
// Without it each entry sends what it takes to be room for, the server turns most of it away and falls
// over, and its load falls on the others.
//
// The requests that count are those that entries have reported to the owner, also while they ask. A
// server that turns a request away although it should have room gets fewer for a while.
//
// Places is not safe for concurrent use.
type Places struct {
	servers map[string]*places
}

// places is what the owner knows of a server's room.
type places struct {
	incarnation uint64 // start of the server; 0 before the first call of Started
	askedAt     time.Time
	turnedAway  []time.Time // within turnAwayWindow
	withheld    int         // places of the usual ones that the server does not get
	changedAt   time.Time   // when withheld last changed
}

// NewPlaces returns Places without any server.
func NewPlaces() *Places { return &Places{servers: make(map[string]*places)} }

// Fits reports whether a server that runs slots requests at once, and bears that it turns brittle ones
// away in a second, has room for all the requests that are running, counting those that ask.
func (p *Places) Fits(server string, running, slots, brittle int, now time.Time) bool {
	s := p.touch(server, now)
	s.update(now)
	if len(s.turnedAway) >= max(brittle-1, 1) {
		return false
	}
	if brittle >= minBrittleToWait {
		slots += waitingPlaces
	}
	return running <= max(slots-s.withheld, 1)
}

// Started records which start of a server answers. What an earlier one turned away says nothing about it.
func (p *Places) Started(server string, incarnation uint64, now time.Time) {
	s := p.touch(server, now)
	if s.incarnation != 0 && s.incarnation < incarnation {
		*s = places{askedAt: now}
	}
	s.incarnation = max(s.incarnation, incarnation)
}

// TurnedAway records that a server has turned a request away.
func (p *Places) TurnedAway(server string, now time.Time) {
	s := p.touch(server, now)
	s.update(now)
	s.turnedAway = append(s.turnedAway, now)
	s.withheld++
	s.changedAt = now
}

// Sweep drops the servers that nobody has asked for since a while.
func (p *Places) Sweep(now time.Time) {
	for id, s := range p.servers {
		if now.Sub(s.askedAt) > reportTTL {
			delete(p.servers, id)
		}
	}
}

func (p *Places) touch(server string, now time.Time) *places {
	s := p.servers[server]
	if s == nil {
		s = &places{}
		p.servers[server] = s
	}
	s.askedAt = now
	return s
}

// update drops what is out of date.
func (s *places) update(now time.Time) {
	kept := s.turnedAway[:0]
	for _, at := range s.turnedAway {
		if now.Sub(at) < turnAwayWindow {
			kept = append(kept, at)
		}
	}
	s.turnedAway = kept
	for s.withheld > 0 && now.Sub(s.changedAt) >= recoveryInterval {
		s.withheld--
		s.changedAt = s.changedAt.Add(recoveryInterval)
	}
}
