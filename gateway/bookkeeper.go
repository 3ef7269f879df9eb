package gateway

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/booking"
)

const (
	// askWait is how long a choice waits for what the owners of the candidates say: some
	// three round trips between zones with a busy processor on both ends.
	responseTimeout = 12 * time.Millisecond
	// ownersFor is how long a list of the entries is used. Two entries that count other
	// entries among the owners each keep a part of some books meanwhile.
	ownersTTL = 500 * time.Millisecond
	// loadsInMessage is how many servers' loads fit a datagram.
	maxLoadsPerMessage = 20
	// renewEvery is how often an entry tells the owners again what it has running.
	reportInterval = time.Second
)

// bookkeeper keeps the books of the servers that this entry owns, and asks the owners
// of others. See package booking.
type peerExchange struct {
	self            booking.Reporter
	now             func() time.Time
	liveEntries     func() []directory.Entry    // that are up
	knownEntries    func() []directory.Entry    // also those that may be gone
	datagramAddress func(host string) string    // address of an entry's datagrams
	prefillRate     func(server string) float64 // prompt tokens that a server reads in a second
	transport       transport
	limits          *limits

	mu        sync.Mutex
	sequence  uint64
	loads     *booking.LoadTable
	owners    *booking.Owners
	addresses map[string]netip.AddrPort // by entry
	listedAt  time.Time                 // when owners was made
	pending   map[uint64]*pendingCall   // by sequence
}

// wire carries messages to other entries.
type transport interface {
	send(to netip.AddrPort, m *message)
}

// question is one that waits for answers.
type pendingCall struct {
	outstanding int // owners that have not answered
	loads       []serverLoad
	limit       *limitResponse
	done        chan struct{} // closed when all have
}

// wait returns once all have answered, or it would take too long. It reports whether all
// have.
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
	return &peerExchange{self: self, now: now, loads: booking.NewLoadTable(), owners: booking.NewOwners(nil), pending: make(map[uint64]*pendingCall)}
}

// ask returns what others have running at the servers now, as far as their owners
// answer in time. own says how much of it is this entry's.
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

// split answers for the servers that this entry owns, and sorts the others by owner.
func (x *peerExchange) splitByOwner(servers []string) (local []serverLoad, remote map[netip.AddrPort][]serverLoad) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	x.refreshOwners(now)
	remote = make(map[netip.AddrPort][]serverLoad)
	for _, server := range servers {
		owner := x.owners.Owner(server)
		if owner == x.self.Name {
			local = append(local, x.loadOfOthers(x.self.Name, server, now))
			continue
		}
		if addr, known := x.addresses[owner]; known {
			remote[addr] = append(remote[addr], serverLoad{Server: server})
		}
	}
	return local, remote
}

func (x *peerExchange) loadOfOthers(requester, server string, now time.Time) serverLoad {
	l := x.loads.LoadOfOthers(requester, server, x.prefillRate(server), now)
	return serverLoad{Server: server, Running: l.Running, Prefill: l.Prefill, Down: l.Down}
}

// list brings the owners up to date. k.mu is held.
func (x *peerExchange) refreshOwners(now time.Time) {
	if now.Sub(x.listedAt) < ownersTTL {
		return
	}
	x.listedAt = now
	x.addresses = make(map[string]netip.AddrPort)
	var names []string
	for _, e := range x.liveEntries() {
		if e.Name == x.self.Name {
			names = append(names, e.Name)
			continue
		}
		if addr, ok := x.entryAddress(&e); ok {
			names = append(names, e.Name)
			x.addresses[e.Name] = addr
		}
	}
	x.owners = booking.NewOwners(names)
}

// datagramsOf returns where an entry takes datagrams. ok is false if it can't be asked.
func (x *peerExchange) entryAddress(e *directory.Entry) (addr netip.AddrPort, ok bool) {
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		return netip.AddrPort{}, false
	}
	addr, err = netip.ParseAddrPort(x.datagramAddress(host))
	return addr, err == nil
}

func (x *peerExchange) startCall(owners int) (*pendingCall, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	call := &pendingCall{outstanding: owners, done: make(chan struct{})}
	x.pending[x.sequence] = call
	return call, x.sequence
}

// close ends a question and returns what was answered.
func (x *peerExchange) endCall(sequence uint64) *pendingCall {
	x.mu.Lock()
	defer x.mu.Unlock()
	call := x.pending[sequence]
	delete(x.pending, sequence)
	return call
}

// take handles another entry's message.
func (x *peerExchange) handle(m message) {
	switch m.Kind {
	case kindLoadsRequest:
		x.handleLoadsRequest(&m)
	case kindLoadsResponse, kindLimitResponse:
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
	x.loads.Record(from, sequence, l.Server, booking.Load{Running: l.Running, Prefill: l.Prefill, Down: l.Down}, x.now())
}

// answer tells an entry what others have running at the servers that it asks of.
func (x *peerExchange) handleLoadsRequest(m *message) {
	x.mu.Lock()
	now := x.now()
	x.refreshOwners(now)
	to, known := x.addresses[m.From]
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
		return // it came too late
	}
	call.loads = append(call.loads, m.Loads...)
	if m.Answer != nil {
		call.limit = m.Answer
	}
	if call.outstanding--; call.outstanding == 0 {
		close(call.done)
	}
}

// tell tells the owners what this entry has running at servers.
func (x *peerExchange) reportLoads(loads ...serverLoad) {
	x.mu.Lock()
	now := x.now()
	x.refreshOwners(now)
	x.sequence++
	sequence := x.sequence
	remote := make(map[netip.AddrPort][]serverLoad)
	for _, l := range loads {
		owner := x.owners.Owner(l.Server)
		if owner == x.self.Name {
			x.recordLocked(x.self, sequence, l)
		} else if addr, known := x.addresses[owner]; known {
			remote[addr] = append(remote[addr], l)
		}
	}
	x.mu.Unlock()
	for owner, list := range remote {
		x.transport.send(owner, &message{From: x.self.Name, Life: x.self.Incarnation, Sequence: sequence, Kind: kindLoadsReport, Loads: list})
	}
}

// sweep drops what is no longer told.
func (x *peerExchange) sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loads.Sweep(x.now())
}

// newBooks sets up the books of this entry.
func (g *Gateway) newExchange() *peerExchange {
	x := newPeerExchange(booking.Reporter{Name: g.cfg.Node.Name, Incarnation: g.incarnation}, g.now)
	x.liveEntries = func() []directory.Entry { return g.peers.entries(g.now()) }
	x.knownEntries = func() []directory.Entry { return g.directory.Entries(g.now()) }
	x.datagramAddress = g.cfg.Node.EntryBooks
	x.prefillRate = g.prefillRateOf
	g.datagrams = newDatagrams(g.cfg.ClusterKey, g.log, x.handle)
	x.transport = g.datagrams
	return x
}

// serverRate is how many prompt tokens a server reads in a second.
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

// renewBooks tells the owners again what this entry has running.
func (g *Gateway) reportAllLoads() {
	g.mu.Lock()
	services := slices.Collect(maps.Values(g.services))
	g.mu.Unlock()
	for _, s := range services {
		for chunk := range slices.Chunk(s.ownLoads(), maxLoadsPerMessage) {
			g.exchange.reportLoads(chunk...)
		}
	}
	g.exchange.sweep()
}
