package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/request"
)

// methodTakeOver hands a request over to another entry.
const methodTakeOver = "entry.take_over"

// takeOverTimeout bounds one hand-over of one request.
const takeOverTimeout = time.Second

// maxConcurrentHandOvers bounds the hand-overs in flight: a few hundred requests then
// take well under a second, and one peer is not flooded.
const maxConcurrentHandOvers = 32

// takeOverRequest is a request with its journal: all that another entry needs
// to answer it. Weight is the workspace's share.
type takeOverRequest struct {
	Request request.Request `msgpack:"req"`
	Tokens  []string        `msgpack:"tok"`
	Weight  int             `msgpack:"w"`
}

// takeOverReply says where the caller finds the answer now.
type takeOverReply struct {
	CallerAddr string `msgpack:"addr"`
}

// handOverAll gives every unfinished chat request to other entries.
func (e *Entry) handOverAll(ctx context.Context) {
	peers := e.handOverPeers()
	if len(peers) == 0 {
		return
	}
	slots := make(chan struct{}, maxConcurrentHandOvers)
	var wg sync.WaitGroup
	for i, wk := range e.registry.all() {
		if wk.journal.Ended() != nil {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			e.handOver(ctx, wk, rotate(peers, i))
		})
	}
	wg.Wait()
}

// rotate spreads the requests over the peers.
func rotate(peers []*instance.Member, offset int) []*instance.Member {
	n := offset % len(peers)
	return append(append([]*instance.Member{}, peers[n:]...), peers[:n]...)
}

// handOverPeers lists the entries that can take requests, other zones first: a
// reclaim takes a zone whole, so a peer in this zone is likely to go next.
func (e *Entry) handOverPeers() []*instance.Member {
	var otherZones, sameZone []*instance.Member
	for _, m := range e.servingEntries() {
		switch {
		case m.ID == e.cfg.ID:
		case m.Zone != e.cfg.Zone:
			otherZones = append(otherZones, m)
		default:
			sameZone = append(sameZone, m)
		}
	}
	return append(otherZones, sameZone...)
}

// handOver gives one request to the first peer that takes it. Its attempt here
// is stopped before its journal is copied: a token that came in afterwards
// would be sent to the caller here and generated again there.
func (e *Entry) handOver(ctx context.Context, wk *work, peers []*instance.Member) {
	if !wk.pause() {
		return // ended meanwhile
	}
	msg := takeOverRequest{Request: *wk.request, Tokens: wk.journal.Tokens(), Weight: wk.ticket.weight}
	for _, m := range peers {
		reply, err := e.offer(ctx, m, msg)
		if err != nil {
			event.Log(ctx, e.deps.Log, slog.LevelWarn, event.HandOffFailed,
				slog.String("request", string(wk.request.ID)), slog.String("peer", m.ID), slog.String("error", err.Error()))
			continue
		}
		e.metrics.handedOver.Inc()
		event.Log(ctx, e.deps.Log, slog.LevelInfo, event.RequestHandedOff,
			slog.String("request", string(wk.request.ID)), slog.String("peer", m.ID), slog.Int("tokens", len(msg.Tokens)))
		wk.journal.Finish(request.End{MovedTo: reply.CallerAddr})
		wk.cancel()
		return
	}
	wk.resume() // nobody took it: it goes on here for as long as it can
}

func (e *Entry) offer(ctx context.Context, m *instance.Member, msg takeOverRequest) (takeOverReply, error) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	return link.Call[takeOverReply](ctx, e.pool, m.LinkAddress, methodTakeOver, msg)
}

// handleTakeOver accepts a request from an entry that leaves, and goes on with its
// answer. A second offer of the same request, after a lost reply, finds the first.
func (e *Entry) handleTakeOver(ctx context.Context, from link.PeerInfo, msg takeOverRequest) (takeOverReply, error) {
	if !e.acceptsRequests() {
		return takeOverReply{}, e.drainingProblem()
	}
	c := e.follower.current.Load()
	if c == nil {
		return takeOverReply{}, request.NewProblem(request.CodeCatalogueStale, request.NotRun, "no catalogue yet")
	}
	s, known := c.services[msg.Request.Service]
	if !known {
		return takeOverReply{}, request.NewProblem(request.CodeUnknownService, request.NotRun, "no service %q", msg.Request.Service)
	}
	reply := takeOverReply{CallerAddr: e.cfg.advertisedAddress()}
	if _, registered := e.registry.get(msg.Request.ID); registered {
		return reply, nil
	}
	chat, p := decodeChat(msg.Request.Body)
	if p != nil {
		return takeOverReply{}, p
	}
	req := msg.Request
	wk, err := e.newWork(s, &req, chat, msg.Tokens, msg.Weight)
	if err != nil {
		return takeOverReply{}, err
	}
	wk.takenOver, wk.lastFollowerLeft = true, e.deps.Now()
	if !e.launch(wk, e.engineRequest(s, &req, chat), false) {
		return reply, nil
	}
	e.admitter.resume(req.Workspace)
	e.metrics.takenOver.Inc()
	event.Log(ctx, e.deps.Log, slog.LevelInfo, event.RequestTaken,
		slog.String("request", string(req.ID)), slog.String("peer", from.ID), slog.Int("tokens", len(msg.Tokens)))
	return reply, nil
}
