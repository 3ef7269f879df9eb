package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
)

const (
	// responseTimeout is how long a choice of a server waits for the load from the
	// candidates' owners: about three round trips between zones while both ends are busy.
	responseTimeout = 12 * time.Millisecond
	// maxLoadsPerMessage keeps a message within a datagram.
	maxLoadsPerMessage = 15
)

// peerExchange exchanges messages with other entries. It holds the load table of the servers
// that this entry owns and queries the owners of other servers (see package booking), and
// carries the messages about limits. Its methods are safe for concurrent use.
type peerExchange struct {
	self            booking.Reporter
	now             func() time.Time
	liveEntries     func() []directory.Entry
	knownEntries    func() []directory.Entry // also those that may have left; sorted by name
	knownEntry      func(name string) (directory.Entry, bool)
	datagramAddress func(host string) string    // of the entry on a host
	prefillRate     func(server string) float64 // prompt tokens per second of a server
	// slots returns the requests that a server runs at once, 0 if it is not known, and its incarnation.
	slots          func(server string) (slots int, incarnation uint64)
	entryCount     func() int // live entries as last reported, at least 1
	transport      transport
	limits         *limits
	limitResponses sentResponses
	listChanged    chan struct{} // receives a value after the live entries may have changed

	mu       sync.Mutex
	sequence uint64
	loads    *booking.LoadTable
	places   *booking.Places
	list     *entryList
	// settledOwners are those of the list that was in use before listChangedAt.
	settledOwners *booking.Owners
	listChangedAt time.Time
	checkedAt     time.Time               // when list was last compared with the live entries
	pending       map[uint64]*pendingCall // by sequence
}

// transport sends messages to other entries without waiting for their receipt.
type transport interface {
	send(to netip.AddrPort, m *message)
}

// pendingCall collects the responses to a request.
type pendingCall struct {
	outstanding int // owners that have not responded
	loads       []serverLoad
	limit       *limitResponse
	fits        bool
	done        chan struct{} // closed once all have responded
}

// wait blocks until all owners have responded, responseTimeout has passed or ctx ends, and
// reports whether all have.
func (c *pendingCall) wait(ctx context.Context) bool {
	timeout := time.NewTimer(responseTimeout)
	defer timeout.Stop()
	select {
	case <-c.done:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

func newPeerExchange(self booking.Reporter, now func() time.Time) *peerExchange {
	return &peerExchange{self: self, now: now, loads: booking.NewLoadTable(), places: booking.NewPlaces(), settledOwners: booking.NewOwners(nil), list: newEntryList(nil, self.Name, nil), listChanged: make(chan struct{}, 1), pending: make(map[uint64]*pendingCall)}
}

// queryLoads returns the load that other entries have placed on the servers, as far as the
// servers' owners respond within responseTimeout.
func (x *peerExchange) queryLoads(ctx context.Context, servers []string) []serverLoad {
	local, remote := x.splitByOwner(servers)
	if len(remote) == 0 {
		return local
	}
	call, sequence := x.startCall(len(remote))
	for owner, list := range remote {
		x.transport.send(owner, &message{From: x.self.Name, Life: x.self.Incarnation, Sequence: sequence, Kind: kindLoadsRequest, Loads: list})
	}
	call.wait(ctx)
	return append(local, x.endCall(sequence).loads...)
}

// splitByOwner returns the load of the servers that this entry owns, and groups the others
// by the address of their owner.
func (x *peerExchange) splitByOwner(servers []string) (local []serverLoad, remote map[netip.AddrPort][]serverLoad) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	list := x.entryList(now)
	remote = make(map[netip.AddrPort][]serverLoad)
	for _, server := range servers {
		owner := list.owners.Owner(server)
		if owner == x.self.Name {
			local = append(local, x.loadOfOthers(x.self.Name, server, now))
			continue
		}
		if addr, known := list.addresses[owner]; known {
			remote[addr] = append(remote[addr], serverLoad{Server: server})
		}
	}
	return local, remote
}

func (x *peerExchange) loadOfOthers(requester, server string, now time.Time) serverLoad {
	return messageLoad(server, x.loads.LoadOfOthers(requester, server, x.prefillRate(server), now))
}

func (x *peerExchange) startCall(owners int) (*pendingCall, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	call := &pendingCall{outstanding: owners, done: make(chan struct{})}
	x.pending[x.sequence] = call
	return call, x.sequence
}

// endCall ends a call and returns the responses received so far.
func (x *peerExchange) endCall(sequence uint64) *pendingCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	call := x.pending[sequence]
	delete(x.pending, sequence)
	return call
}

// handle processes a message from another entry.
func (x *peerExchange) handle(m message) {
	switch m.Kind {
	case kindLoadsRequest:
		x.handleLoadsRequest(&m)
	case kindPlaceRequest:
		x.handlePlaceRequest(&m)
	case kindLoadsResponse, kindLimitResponse, kindPlaceResponse:
		x.handleResponse(&m)
	case kindLimitRequest:
		x.handleLimitRequest(&m)
	case kindRefund:
		x.limits.refundLocal(m.Limit)
	case kindLeaseRequest:
		x.limits.lend(&m)
	case kindLeaseResponse:
		x.limits.borrow(&m)
	case kindReturnRequest:
		x.limits.returnShares(&m)
	case kindReturnResponse:
		x.limits.recordReturn(&m)
	case kindLoadsReport:
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, l := range m.Loads {
			x.recordLocked(booking.Reporter{Name: m.From, Incarnation: m.Life}, m.Sequence, l)
		}
	}
}

func (x *peerExchange) recordLocked(from booking.Reporter, sequence uint64, l serverLoad) {
	x.loads.Record(from, sequence, l.Server, l.booked(), x.now())
}

// handleLoadsRequest responds with the load that other entries than the requester have
// placed on its servers.
func (x *peerExchange) handleLoadsRequest(m *message) {
	x.mu.Lock()
	now := x.now()
	to, known := x.entryList(now).addresses[m.From]
	response := message{From: x.self.Name, Life: x.self.Incarnation, Sequence: m.Sequence, Kind: kindLoadsResponse}
	for _, l := range m.Loads {
		response.Loads = append(response.Loads, x.loadOfOthers(m.From, l.Server, now))
	}
	x.mu.Unlock()
	if known {
		x.transport.send(to, &response)
	}
}

func (x *peerExchange) handleResponse(m *message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	call := x.pending[m.Sequence]
	if call == nil || call.outstanding == 0 {
		return // the call has ended
	}
	call.loads = append(call.loads, m.Loads...)
	if m.Answer != nil {
		call.limit = m.Answer
	}
	call.fits = m.Fits
	if call.outstanding--; call.outstanding == 0 {
		close(call.done)
	}
}

// reportLoads reports this entry's load on servers to their owners.
func (x *peerExchange) reportLoads(loads ...serverLoad) {
	x.mu.Lock()
	list := x.entryList(x.now())
	x.sequence++
	sequence := x.sequence
	remote := make(map[netip.AddrPort][]serverLoad)
	for _, l := range loads {
		owner := list.owners.Owner(l.Server)
		if owner == x.self.Name {
			x.recordLocked(x.self, sequence, l)
		} else if addr, known := list.addresses[owner]; known {
			remote[addr] = append(remote[addr], l)
		}
	}
	x.mu.Unlock()
	for owner, list := range remote {
		x.transport.send(owner, &message{From: x.self.Name, Life: x.self.Incarnation, Sequence: sequence, Kind: kindLoadsReport, Loads: list})
	}
}

// sweep removes expired reports.
func (x *peerExchange) sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loads.Sweep(x.now())
	x.places.Sweep(x.now())
}

// newExchange returns this entry's exchange and sets up its datagrams.
func (g *Gateway) newExchange() *peerExchange {
	x := newPeerExchange(booking.Reporter{Name: g.cfg.Node.Name, Incarnation: g.incarnation}, g.now)
	x.liveEntries = func() []directory.Entry { return g.peers.entries(g.now()) }
	x.knownEntries = func() []directory.Entry { return g.directory.Entries(g.now()) }
	x.knownEntry = func(name string) (directory.Entry, bool) { return g.directory.Entry(name, g.now()) }
	x.datagramAddress = g.cfg.Node.EntryExchange
	x.prefillRate = g.prefillRateOf
	x.slots = g.slotsOf
	x.entryCount = g.liveEntryCount
	g.datagrams = newDatagrams(g.cfg.ClusterKey, g.log, x.handle)
	x.transport = g.datagrams
	return x
}

// prefillRateOf returns the prompt tokens per second that a server is assumed to process.
func (g *Gateway) prefillRateOf(server string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		if s.has(server) {
			return s.prefillRate()
		}
	}
	return initialPrefillRate
}

// allServices returns the services that this entry has sent to or knows servers of.
func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.services))
}

// reportAllLoads reports this entry's whole load to the owners and removes expired reports.
func (g *Gateway) reportAllLoads() {
	for _, s := range g.allServices() {
		for chunk := range slices.Chunk(s.ownLoads(), maxLoadsPerMessage) {
			g.exchange.reportLoads(chunk...)
		}
	}
	g.exchange.sweep()
}
