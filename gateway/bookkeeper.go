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
	askWait = 12 * time.Millisecond
	// ownersFor is how long a list of the entries is used. Two entries that count other
	// entries among the owners each keep a part of some books meanwhile.
	ownersFor = 500 * time.Millisecond
	// loadsInMessage is how many servers' loads fit a datagram.
	loadsInMessage = 20
	// renewEvery is how often an entry tells the owners again what it has running.
	renewEvery = time.Second
)

// bookkeeper keeps the books of the servers that this entry owns, and asks the owners
// of others. See package booking.
type bookkeeper struct {
	self    booking.Reporter
	now     func() time.Time
	entries func() []directory.Entry    // that are up
	known   func() []directory.Entry    // also those that may be gone
	port    func(host string) string    // address of an entry's datagrams
	rate    func(server string) float64 // prompt tokens that a server reads in a second
	wire    wire
	limits  *limits

	mu       sync.Mutex
	sequence uint64
	book     *booking.LoadTable
	owners   *booking.Owners
	address  map[string]netip.AddrPort // by entry
	listed   time.Time                 // when owners was made
	asked    map[uint64]*question      // by sequence
}

// wire carries messages to other entries.
type wire interface {
	send(to netip.AddrPort, m *message)
}

// question is one that waits for answers.
type question struct {
	open    int // owners that have not answered
	answers []serverLoad
	limit   *limitAnswer
	done    chan struct{} // closed when all have
}

// wait returns once all have answered, or it would take too long. It reports whether all
// have.
func (q *question) wait(ctx context.Context) bool {
	timeout := time.NewTimer(askWait)
	defer timeout.Stop()
	select {
	case <-q.done:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

func newBookkeeper(self booking.Reporter, now func() time.Time) *bookkeeper {
	return &bookkeeper{self: self, now: now, book: booking.NewLoadTable(), owners: booking.NewOwners(nil), asked: make(map[uint64]*question)}
}

// ask returns what others have running at the servers now, as far as their owners
// answer in time. own says how much of it is this entry's.
func (k *bookkeeper) ask(ctx context.Context, servers []string) []serverLoad {
	local, remote := k.split(servers)
	if len(remote) == 0 {
		return local
	}
	q, sequence := k.open(len(remote))
	for owner, list := range remote {
		k.wire.send(owner, &message{From: k.self.Name, Life: k.self.Incarnation, Sequence: sequence, Kind: askLoads, Loads: list})
	}
	q.wait(ctx)
	return append(local, k.close(sequence).answers...)
}

// split answers for the servers that this entry owns, and sorts the others by owner.
func (k *bookkeeper) split(servers []string) (local []serverLoad, remote map[netip.AddrPort][]serverLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.list(now)
	remote = make(map[netip.AddrPort][]serverLoad)
	for _, server := range servers {
		owner := k.owners.Owner(server)
		if owner == k.self.Name {
			local = append(local, k.others(k.self.Name, server, now))
			continue
		}
		if addr, known := k.address[owner]; known {
			remote[addr] = append(remote[addr], serverLoad{Server: server})
		}
	}
	return local, remote
}

func (k *bookkeeper) others(asker, server string, now time.Time) serverLoad {
	l := k.book.LoadOfOthers(asker, server, k.rate(server), now)
	return serverLoad{Server: server, Running: l.Running, Prefill: l.Prefill, Down: l.Down}
}

// list brings the owners up to date. k.mu is held.
func (k *bookkeeper) list(now time.Time) {
	if now.Sub(k.listed) < ownersFor {
		return
	}
	k.listed = now
	k.address = make(map[string]netip.AddrPort)
	var names []string
	for _, e := range k.entries() {
		if e.Name == k.self.Name {
			names = append(names, e.Name)
			continue
		}
		if addr, ok := k.datagramsOf(&e); ok {
			names = append(names, e.Name)
			k.address[e.Name] = addr
		}
	}
	k.owners = booking.NewOwners(names)
}

// datagramsOf returns where an entry takes datagrams. ok is false if it can't be asked.
func (k *bookkeeper) datagramsOf(e *directory.Entry) (addr netip.AddrPort, ok bool) {
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		return netip.AddrPort{}, false
	}
	addr, err = netip.ParseAddrPort(k.port(host))
	return addr, err == nil
}

func (k *bookkeeper) open(owners int) (*question, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	q := &question{open: owners, done: make(chan struct{})}
	k.asked[k.sequence] = q
	return q, k.sequence
}

// close ends a question and returns what was answered.
func (k *bookkeeper) close(sequence uint64) *question {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.asked[sequence]
	delete(k.asked, sequence)
	return q
}

// take handles another entry's message.
func (k *bookkeeper) take(m message) {
	switch m.Kind {
	case askLoads:
		k.answer(&m)
	case tellLoads, tellLimit:
		k.answered(&m)
	case askLimit:
		k.answerLimit(&m)
	case noteRefund:
		k.limits.putBack(m.Limit)
	case askShares:
		k.limits.lend(&m)
	case lendShares:
		k.limits.borrowed(&m)
	case askBack:
		k.limits.giveBack(&m)
	case gaveBack:
		k.limits.tookBack(&m)
	case noteLoads:
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, l := range m.Loads {
			k.noteLocked(booking.Reporter{Name: m.From, Incarnation: m.Life}, m.Sequence, l)
		}
	}
}

func (k *bookkeeper) noteLocked(from booking.Reporter, sequence uint64, l serverLoad) {
	k.book.Record(from, sequence, l.Server, booking.Load{Running: l.Running, Prefill: l.Prefill, Down: l.Down}, k.now())
}

// answer tells an entry what others have running at the servers that it asks of.
func (k *bookkeeper) answer(m *message) {
	k.mu.Lock()
	now := k.now()
	k.list(now)
	to, known := k.address[m.From]
	told := message{From: k.self.Name, Life: k.self.Incarnation, Sequence: m.Sequence, Kind: tellLoads}
	for _, l := range m.Loads {
		told.Loads = append(told.Loads, k.others(m.From, l.Server, now))
	}
	k.mu.Unlock()
	if known {
		k.wire.send(to, &told)
	}
}

func (k *bookkeeper) answered(m *message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.asked[m.Sequence]
	if q == nil || q.open == 0 {
		return // it came too late
	}
	q.answers = append(q.answers, m.Loads...)
	if m.Answer != nil {
		q.limit = m.Answer
	}
	if q.open--; q.open == 0 {
		close(q.done)
	}
}

// tell tells the owners what this entry has running at servers.
func (k *bookkeeper) tell(loads ...serverLoad) {
	k.mu.Lock()
	now := k.now()
	k.list(now)
	k.sequence++
	sequence := k.sequence
	remote := make(map[netip.AddrPort][]serverLoad)
	for _, l := range loads {
		owner := k.owners.Owner(l.Server)
		if owner == k.self.Name {
			k.noteLocked(k.self, sequence, l)
		} else if addr, known := k.address[owner]; known {
			remote[addr] = append(remote[addr], l)
		}
	}
	k.mu.Unlock()
	for owner, list := range remote {
		k.wire.send(owner, &message{From: k.self.Name, Life: k.self.Incarnation, Sequence: sequence, Kind: noteLoads, Loads: list})
	}
}

// sweep drops what is no longer told.
func (k *bookkeeper) sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Sweep(k.now())
}

// newBooks sets up the books of this entry.
func (g *Gateway) newBooks() *bookkeeper {
	k := newBookkeeper(booking.Reporter{Name: g.cfg.Node.Name, Incarnation: g.life}, g.now)
	k.entries = func() []directory.Entry { return g.peers.entries(g.now()) }
	k.known = func() []directory.Entry { return g.directory.Entries(g.now()) }
	k.port = g.cfg.Node.EntryBooks
	k.rate = g.serverRate
	g.datagrams = newDatagrams(g.cfg.ClusterKey, g.log, k.take)
	k.wire = g.datagrams
	return k
}

// serverRate is how many prompt tokens a server reads in a second.
func (g *Gateway) serverRate(server string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		if s.has(server) {
			return s.rate()
		}
	}
	return firstRate
}

// renewBooks tells the owners again what this entry has running.
func (g *Gateway) renewBooks() {
	g.mu.Lock()
	services := slices.Collect(maps.Values(g.services))
	g.mu.Unlock()
	for _, s := range services {
		for part := range slices.Chunk(s.ownLoads(), loadsInMessage) {
			g.books.tell(part...)
		}
	}
	g.books.sweep()
}
