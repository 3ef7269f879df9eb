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
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/route"
)

// listingClient fetches the full listing of a model server's prefix cache.
type listingClient interface {
	Listing(ctx context.Context, address string) (native.CacheListing, error)
}

// listingTimeout bounds one fetch of a listing.
const listingTimeout = 2 * time.Second

// prefixes applies cache events to the lanes' prefix indexes. After a gap in a server's
// events, it fetches the server's full listing.
//
// Events may be lost or late. An index that lacks an eviction routes requests to a server
// that must prefill their prompts again; one that lacks a stored prefix routes them to other
// servers. Neither causes an error, only recomputed tokens until the gap is repaired.
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

// methodCacheEvents forwards a server's cache events to other entries.
const methodCacheEvents = "entry.cache_events"

// maxCacheEventPeers is the number of other entries from which on cache events are not
// forwarded, since their traffic would exceed all other control traffic. Affinity then
// relies on rendezvous hashing, which needs no events.
const maxCacheEventPeers = 16

// cacheEventsMessage is a forwarded batch of one server's cache events.
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

// receive applies events that a server has sent to this entry and forwards them to the other
// entries.
func (p *prefixes) receive(server string, incarnation uint64, events []instance.CacheEvent) {
	p.apply(server, incarnation, events)
	peers := p.entry.peerLinks()
	if len(peers) >= maxCacheEventPeers {
		return
	}
	for _, addr := range peers {
		// A lost batch causes a gap at the peer, which then fetches the listing.
		_ = link.Notify(p.entry.pool, addr, methodCacheEvents, cacheEventsMessage{server, incarnation, events})
	}
}

// apply applies a batch of events of one incarnation of a server, and fetches the listing if
// events are missing.
func (p *prefixes) apply(server string, incarnation uint64, events []instance.CacheEvent) {
	l, address, ok := p.modelLane(server, incarnation)
	if !ok {
		return // the server is not announced here yet; once it is, its next events show the gap
	}
	if l.applyCacheEvents(server, incarnation, events) {
		return
	}
	s := quarantine.Server{ID: server, Incarnation: incarnation}
	if !l.maySend(s) {
		return // events after its pause show the gap again
	}
	p.fetchListing(l, s, address)
}

// modelLane returns the lane and the address of a model server. ok is false unless this
// incarnation of it is announced here.
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

// fetchListing fetches a server's full listing in the background, unless a fetch for the
// server is running already.
func (p *prefixes) fetchListing(l *lane, s quarantine.Server, address string) {
	p.mu.Lock()
	fetching := p.fetches[s.ID]
	p.fetches[s.ID] = true
	p.mu.Unlock()
	if fetching {
		return
	}
	event.Log(p.ctx, p.log, slog.LevelInfo, event.CacheGap, slog.String("server", s.ID))
	p.fetchGroup.Go(func() {
		defer p.fetchDone(s.ID)
		ctx, cancel := context.WithTimeout(p.ctx, listingTimeout)
		defer cancel()
		listing, err := p.engines.Listing(native.WithMaySend(ctx, func() bool { return l.maySend(s) }), address)
		if err != nil {
			p.lanes.heed(s, native.NoticeOfError(err))
			return // the next events show the gap again, and the fetch is repeated
		}
		l.applyCacheListing(s.ID, listing)
	})
}

func (p *prefixes) fetchDone(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.fetches, server)
}

// applyCacheEvents applies events to the prefix index. It reports false if some are missing.
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

// applyCacheListing replaces a server's prefixes in the index by its listing.
func (l *lane) applyCacheListing(server string, c native.CacheListing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listing := route.Listing{Incarnation: c.Incarnation, Sequence: c.Sequence}
	for _, entry := range c.Entries {
		listing.Prefixes = append(listing.Prefixes, route.CachedPrefix{Prefix: entry.Prefix, Tokens: entry.Tokens})
	}
	l.router.Prefixes().Replace(server, listing)
}
