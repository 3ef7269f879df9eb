package gateway

import (
	"context"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
)

// placeRequest asks the owner of a brittle server whether the request that the sender has counted in
// its load on it fits, or reports that the server has turned one away. It is encoded by the order of
// its fields.
type placeRequest struct {
	Brittle    int  // requests that the server bears to turn away in a second
	TurnedAway bool // one was turned away; there is no response
}

// maxPlaceAttempts is how often the owner of a server is asked: a datagram may be lost. Without a
// response there is no place.
const maxPlaceAttempts = 2

// hasPlace reports whether a brittle server has room for a request that this entry has counted in its
// load there.
func (x *peerExchange) hasPlace(ctx context.Context, load serverLoad, brittle int) bool {
	x.mu.Lock()
	x.sequence++
	sequence, now := x.sequence, x.now()
	list := x.entryList(now)
	owner := list.owners.Owner(load.Server)
	addr, known := list.addresses[owner]
	fits := false
	switch owner {
	case x.self.Name:
		x.recordLocked(x.self, sequence, load)
		fits = x.fitsLocked(load.Server, brittle, now)
	case "": // no list of entries for long: what is surely this entry's
		slots, _ := x.slots(load.Server)
		fits = load.Running <= max(slots/x.entryCount(), 1)
	}
	call := &pendingCall{outstanding: 1, done: make(chan struct{})}
	if known {
		x.pending[sequence] = call
	}
	x.mu.Unlock()
	if !known {
		return fits
	}
	m := &message{
		From: x.self.Name, Life: x.self.Incarnation, Sequence: sequence, Kind: kindPlaceRequest,
		Loads: []serverLoad{load}, Place: &placeRequest{Brittle: brittle},
	}
	for range maxPlaceAttempts {
		x.transport.send(addr, m)
		if call.wait(ctx) {
			break
		}
	}
	return x.endCall(sequence).fits
}

// fitsLocked decides on a place of a server that this entry owns. x.mu is held.
func (x *peerExchange) fitsLocked(server string, brittle int, now time.Time) bool {
	slots, incarnation := x.slots(server)
	if slots <= 0 || !x.ownsForLong(server, now) {
		return false
	}
	x.places.Started(server, incarnation, now)
	running := x.loads.LoadOfOthers("", server, 0, now).Running
	return x.places.Fits(server, running, slots, brittle, now)
}

// ownsForLong reports whether the load of all entries on a server is known here. x.mu is held.
func (x *peerExchange) ownsForLong(server string, now time.Time) bool {
	return now.Sub(x.listChangedAt) >= booking.SettleTime || x.settledOwners.Owner(server) == x.self.Name
}

// reportTurnedAway reports a request that a brittle server has turned away to the owner of the server.
func (x *peerExchange) reportTurnedAway(server string) {
	x.mu.Lock()
	now := x.now()
	list := x.entryList(now)
	owner := list.owners.Owner(server)
	if owner == x.self.Name {
		x.places.TurnedAway(server, now)
	}
	addr, known := list.addresses[owner]
	x.mu.Unlock()
	if known {
		x.transport.send(addr, &message{
			From: x.self.Name, Life: x.self.Incarnation, Kind: kindPlaceRequest,
			Loads: []serverLoad{{Server: server}}, Place: &placeRequest{TurnedAway: true},
		})
	}
}

// handlePlaceRequest decides on a place of a server that this entry owns, as far as the sender knows.
func (x *peerExchange) handlePlaceRequest(m *message) {
	load := m.Loads[0]
	x.mu.Lock()
	now := x.now()
	if m.Place.TurnedAway {
		x.places.TurnedAway(load.Server, now)
		x.mu.Unlock()
		return
	}
	to, known := x.entryList(now).addresses[m.From]
	x.recordLocked(booking.Reporter{Name: m.From, Incarnation: m.Life}, m.Sequence, load)
	fits := x.fitsLocked(load.Server, m.Place.Brittle, now)
	x.mu.Unlock()
	if known {
		x.transport.send(to, &message{From: x.self.Name, Life: x.self.Incarnation, Sequence: m.Sequence, Kind: kindPlaceResponse, Fits: fits})
	}
}

// slotsOf returns how many requests a server runs at once, 0 if it is not known, and which start of it is known.
func (g *Gateway) slotsOf(server string) (slots int, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		if rec, known := s.record(server); known {
			return rec.Slots, rec.Incarnation
		}
	}
	return 0, 0
}

func (s *service) record(server string) (rec directory.Server, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, known = s.servers[server]
	return rec, known
}
