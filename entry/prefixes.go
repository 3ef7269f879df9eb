package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/route"
)

// listingClient fetches the full listing of a model server's prefix cache.
type listingClient interface {
	Listing(ctx context.Context, address string) (native.CacheListing, error)
}

// listingTimeout bounds one fetch of a listing.
const listingTimeout = 2 * time.Second

// prefixes feeds the lanes' prefix indexes with cache events, and repairs an
// index whose events have a gap by the server's full listing.
//
// Events get lost and come late. An index that missed an eviction sends
// requests to a server that must prefill them again; one that missed a store
// sends them elsewhere. Neither shows but as recomputed tokens, for as long as
// the gap is not repaired.
type prefixes struct {
	entry      *Entry
	lanes      *lanes
	engines    listingClient
	log        *slog.Logger
	fetchGroup *sync.WaitGroup
	ctx        context.Context

	mu      sync.Mutex
	fetches map[string]bool // servers whose listing is being fetched
}

// methodCacheEvents passes a server's cache events on to other entries.
const methodCacheEvents = "entry.cache_events"

// cachePeers is the most entries that pass cache events on to each other. At
// more, the events of hundreds of servers would take more than all other control
// traffic, and affinity rests on rendezvous hashing, which needs none.
const maxCacheEventPeers = 16

// cacheMessage is a batch of events passed on.
type cacheEventsMessage struct {
	Server      string                `msgpack:"s"`
	Incarnation uint64                `msgpack:"i"`
	Events      []instance.CacheEvent `msgpack:"e"`
}

func (p *prefixes) register(s *link.Server) {
	link.HandleNotice(s, methodCacheEvents, func(_ context.Context, _ link.PeerInfo, m cacheEventsMessage) {
		p.apply(m.Server, m.Incarnation, m.Events)
	})
}

// heard takes events that a server sent here and passes them on.
func (p *prefixes) receive(server string, incarnation uint64, events []instance.CacheEvent) {
	p.apply(server, incarnation, events)
	peers := p.entry.peerLinks()
	if len(peers) >= maxCacheEventPeers {
		return
	}
	for _, addr := range peers {
		// A lost batch shows there as a gap and is repaired by a listing.
		_ = link.Notify(p.entry.pool, addr, methodCacheEvents, cacheEventsMessage{server, incarnation, events})
	}
}

// take applies a batch of events of one incarnation of a server.
func (p *prefixes) apply(server string, incarnation uint64, events []instance.CacheEvent) {
	l, address, ok := p.modelLane(server, incarnation)
	if !ok {
		return // not announced here yet: its listing is fetched when it is
	}
	if l.applyCacheEvents(server, incarnation, events) {
		return
	}
	p.fetchListing(l, server, address)
}

func (p *prefixes) modelLane(server string, incarnation uint64) (*lane, string, bool) {
	p.lanes.mu.RLock()
	h, known := p.lanes.servers[server]
	p.lanes.mu.RUnlock()
	if !known || h.server.Incarnation != incarnation || h.server.Model == "" {
		return nil, "", false
	}
	a := h.server
	l, err := p.lanes.get(laneKey{kind: contract.KindModel, name: a.Model})
	return l, a.Address, err == nil
}

// repair fetches the full listing, once at a time for each server.
func (p *prefixes) fetchListing(l *lane, server, address string) {
	p.mu.Lock()
	fetching := p.fetches[server]
	p.fetches[server] = true
	p.mu.Unlock()
	if fetching {
		return
	}
	event.Log(p.ctx, p.log, slog.LevelInfo, event.CacheGap, slog.String("server", server))
	p.fetchGroup.Go(func() {
		defer p.fetchDone(server)
		ctx, cancel := context.WithTimeout(p.ctx, listingTimeout)
		defer cancel()
		listing, err := p.engines.Listing(ctx, address)
		if err != nil {
			return // the next events show the gap again
		}
		l.applyCacheListing(server, listing)
	})
}

func (p *prefixes) fetchDone(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.fetches, server)
}

// cacheEvents applies events and reports false where some are missing.
func (l *lane) applyCacheEvents(server string, incarnation uint64, events []instance.CacheEvent) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	complete := true
	for _, ev := range events {
		if l.router.Prefixes().Apply(server, incarnation, ev) == route.Gap {
			complete = false
		}
	}
	return complete
}

func (l *lane) applyCacheListing(server string, c native.CacheListing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listing := route.Listing{Incarnation: c.Incarnation, Sequence: c.Sequence}
	for _, entry := range c.Entries {
		listing.Prefixes = append(listing.Prefixes, route.CachedPrefix{Prefix: entry.Prefix, Tokens: entry.Tokens})
	}
	l.router.Prefixes().Replace(server, listing)
}
