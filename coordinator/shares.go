package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/quorum"
)

const (
	// shareInterval is the interval at which the leader divides the limits anew. With more than a hundred
	// entries it grows by shareIntervalPerEntry each, up to maxShareInterval: when all start, each change
	// names all of them.
	shareInterval         = 100 * time.Millisecond
	shareIntervalPerEntry = time.Millisecond
	maxShareInterval      = time.Second
	// revokeInterval is the interval at which the leader asks the voters to revoke grants, and revokeTimeout
	// bounds these calls.
	revokeInterval = time.Second
	revokeTimeout  = 500 * time.Millisecond
)

// shareBoard holds the calls of entries that divide the workspaces' limits, and replies to them. The grants
// themselves are in the replicated log. It is safe for concurrent use.
type shareBoard struct {
	mu        sync.Mutex
	calls     *limit.Calls
	recalled  *limit.Table // that this replica had applied before its last start
	entries   int          // number of entries that have or want a share
	plannedAt time.Time    // when the leader last changed the grants
	askedAt   time.Time    // when the leader last asked the voters to revoke grants
}

func newShareBoard() *shareBoard {
	return &shareBoard{calls: limit.NewCalls(), recalled: limit.NewTable(0, nil)}
}

// recall takes over the table that this replica had applied before its start: it applies the last entries of
// its log again only once a leader is elected.
func (b *shareBoard) recall(t *limit.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recalled = t
}

// latest returns the later one of the table that is applied now and the one before the start.
func (b *shareBoard) latest(applied *limit.Table) *limit.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recalled.Index > applied.Index {
		return b.recalled
	}
	return applied
}

// record records a call of an entry and what it reports of its share.
func (b *shareBoard) record(entry entryIncarnation, r limit.Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls.Record(entry.name, entry.incarnation, r, now)
}

// confirmed returns an entry's grant in a table, unless this replica does not confirm it, and the number of
// entries.
func (b *shareBoard) confirmed(name string, t *limit.Table) (g limit.Grant, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls.Confirmed(t.Get(name)), b.entries
}

// update does what is due whether or not this replica leads.
func (b *shareBoard) update(t *limit.Table, voter bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls.SetVoter(voter, now)
	b.calls.Expire(t, now)
	b.entries = b.calls.Entries(t)
}

// goneToRevoke returns the grants of entries that are gone, as far as this replica knows, if it is time to ask
// the voters to revoke them.
func (b *shareBoard) goneToRevoke(t *limit.Table, now time.Time) []limit.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	gone := b.calls.Gone(t, now)
	if len(gone) == 0 || now.Sub(b.askedAt) < revokeInterval {
		return nil
	}
	b.askedAt = now
	return gone
}

// revoke returns those of the grants that this replica does not confirm any more.
func (b *shareBoard) revoke(grants []limit.Grant, now time.Time) []limit.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls.Revoke(grants, now)
}

// divided returns the shares that are reserved for entries that call, and those that are withheld.
func (b *shareBoard) divided(t *limit.Table, now time.Time) (live, withheld float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls.Divided(t, now)
}

// isDue reports whether the leader is to divide the limits anew.
func (b *shareBoard) isDue(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	interval := min(max(shareInterval, time.Duration(b.entries)*shareIntervalPerEntry), maxShareInterval)
	return now.Sub(b.plannedAt) >= interval
}

// plan returns the change of the grants that is due.
func (b *shareBoard) plan(t *limit.Table, revoked []limit.Grant, now time.Time) limit.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	change := limit.Plan(t, b.calls, revoked, now)
	if !change.IsEmpty() {
		b.plannedAt = now
	}
	return change
}

// shareReply returns what this replica replies to an entry on its share.
func (c *Coordinator) shareReply(name string) limit.Reply {
	m := c.group.current.Load()
	if m == nil {
		return limit.Reply{}
	}
	logged := m.host.LastIndexOf(kindShares) // before what is applied is read
	applied := m.host.Status().Applied
	t := c.shares.latest(m.state.shares())
	r := limit.Reply{Applied: logged <= max(applied, t.Index)}
	r.Grant, r.Entries = c.shares.confirmed(name, t)
	r.View = m.view() // after the grant
	return r
}

// view returns this replica's view of the voters.
func (m *member) view() quorum.View {
	v := m.host.Voters()
	return quorum.View{Self: m.id, Index: v.Index, Voters: v.IDs}
}

// divideLimits divides the workspaces' limits among the entries while this replica leads, until ctx ends.
func (c *Coordinator) divideLimits(ctx context.Context) error {
	return daemon.Every(ctx, shareInterval, func() {
		if m := c.group.current.Load(); m != nil {
			c.stepShares(ctx, m)
		}
	})
}

// stepShares makes at most one change of the grants.
func (c *Coordinator) stepShares(ctx context.Context, m *member) {
	t, now := m.state.shares(), c.now()
	c.shares.update(t, m.view().IsVoter(), now)
	if !m.leading() || !c.shares.isDue(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	change := c.shares.plan(t, c.revokeGone(ctx, m, t), now)
	if change.IsEmpty() {
		return
	}
	done, err := proposeResult[bool](ctx, m, kindShares, change)
	live, withheld := c.shares.divided(m.state.shares(), now)
	c.metrics.GetOrCreateGauge(`savoryreel_limit_shares{state="reserved"}`, nil).Set(live)
	c.metrics.GetOrCreateGauge(`savoryreel_limit_shares{state="withheld"}`, nil).Set(withheld)
	event.Log(ctx, c.log, slog.LevelInfo, event.LimitsDivided, slog.Int("granted", len(change.Set)), slog.Any("removed", change.Remove),
		slog.Uint64("base", change.Base), slog.Float64("reserved", live), slog.Float64("withheld", withheld),
		slog.Bool("done", done), slog.Any("error", err))
}

// revokeGone returns the grants of entries that are gone as far as a majority of the voters knows, which
// does not confirm them any more.
func (c *Coordinator) revokeGone(ctx context.Context, m *member, t *limit.Table) (revoked []limit.Grant) {
	gone := c.shares.goneToRevoke(t, c.now())
	if len(gone) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	own := m.view()
	promises := make(map[limit.Grant][]quorum.View)
	for _, g := range c.shares.revoke(gone, c.now()) {
		promises[g] = append(promises[g], own)
	}
	known := []quorum.View{own}
	for reply := range c.askVoters(ctx, gone) {
		known = append(known, reply.View)
		for _, g := range reply.Revoked {
			promises[g] = append(promises[g], reply.View)
		}
	}
	for _, g := range gone {
		if quorum.Majority(promises[g], known) {
			revoked = append(revoked, g)
		}
	}
	return revoked
}

// askVoters asks the other voters to revoke grants. The channel is closed after the last reply.
func (c *Coordinator) askVoters(ctx context.Context, grants []limit.Grant) <-chan api.RevokeSharesReply {
	others, _, _ := c.voters()
	replies := make(chan api.RevokeSharesReply, len(others))
	var calls sync.WaitGroup
	for _, addr := range others {
		calls.Go(func() {
			reply, err := link.Call[api.RevokeSharesReply](ctx, c.pool, addr, api.MethodRevokeShares, api.RevokeSharesRequest{Grants: grants})
			if err != nil {
				c.log.DebugContext(ctx, "grants not revoked", "peer", addr, "error", err)
				return
			}
			replies <- reply
		})
	}
	go func() {
		calls.Wait()
		close(replies)
	}()
	return replies
}

// revokeShares promises the leader not to confirm the grants of entries that are gone.
func (c *Coordinator) revokeShares(_ context.Context, _ link.PeerInfo, req api.RevokeSharesRequest) (api.RevokeSharesReply, error) {
	m := c.group.current.Load()
	if m == nil {
		return api.RevokeSharesReply{}, errNotLeader
	}
	reply := api.RevokeSharesReply{Revoked: c.shares.revoke(req.Grants, c.now())}
	reply.View = m.view()
	return reply, nil
}
