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

// takeOverTimeout bounds one offer of one request to one entry.
const takeOverTimeout = time.Second

// maxConcurrentHandOvers limits the load on the peers. A few hundred requests still take
// well under a second.
const maxConcurrentHandOvers = 32

// takeOverRequest carries a request and its journal, which is all that another entry needs
// to continue the answer. Weight is the workspace's weight in the queue.
type takeOverRequest struct {
	Request request.Request `msgpack:"req"`
	Tokens  []string        `msgpack:"tok"`
	Weight  int             `msgpack:"w"`
	Sent    bool            `msgpack:"sent"` // it has been sent to a backend server
	Version string          `msgpack:"ver"`  // that has generated Tokens, if there are any
}

// takeOverReply returns the address at which callers reach the entry that has taken the
// request over.
type takeOverReply struct {
	CallerAddr string `msgpack:"addr"`
}

// handOverAll hands every unfinished chat request over to other entries.
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

// rotate returns peers rotated by offset, so that consecutive requests go to different
// peers.
func rotate(peers []*instance.Member, offset int) []*instance.Member {
	n := offset % len(peers)
	return append(append([]*instance.Member{}, peers[n:]...), peers[:n]...)
}

// handOverPeers lists the entries that can take requests, those of other zones first:
// reclaims often affect a whole zone.
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

// handOver hands one request over to the first peer that accepts it. The attempt is paused
// before the journal is copied. Otherwise a later token would be sent to the caller here
// and be generated again there.
func (e *Entry) handOver(ctx context.Context, wk *work, peers []*instance.Member) {
	if !wk.pause() {
		return // it has ended
	}
	msg := takeOverRequest{Request: *wk.request, Tokens: wk.journal.Tokens(), Weight: wk.ticket.weight, Sent: wk.ticket.sends.wasSent()}
	msg.Version, _ = wk.ticket.lane.origin(wk.ticket)
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
	wk.resume() // no peer accepted it, so it continues here
}

// offer asks one peer to take a request over.
func (e *Entry) offer(ctx context.Context, m *instance.Member, msg takeOverRequest) (takeOverReply, error) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	return link.Call[takeOverReply](ctx, e.pool, m.LinkAddress, methodTakeOver, msg)
}

// handleTakeOver accepts a request from an entry that leaves and continues its answer. It
// accepts a repeated offer, as after a lost reply, without starting the request twice.
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
	wk.ticket.sends.sent = msg.Sent
	if len(msg.Tokens) > 0 {
		wk.ticket.lane.setOrigin(wk.ticket, msg.Version)
	}
	if !e.launch(wk, e.engineRequest(s, &req, chat), false) {
		return reply, nil
	}
	e.admitter.resume(req.Workspace)
	e.metrics.takenOver.Inc()
	event.Log(ctx, e.deps.Log, slog.LevelInfo, event.RequestTaken,
		slog.String("request", string(req.ID)), slog.String("peer", from.ID), slog.Int("tokens", len(msg.Tokens)))
	return reply, nil
}
