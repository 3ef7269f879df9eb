package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
)

// sweepInterval is how often silence is looked for.
const sweepInterval = 500 * time.Millisecond

func (c *Coordinator) sweep(ctx context.Context) error {
	return daemon.Every(ctx, sweepInterval, func() {
		replied, followed := c.follower.CountReplied(maxReplyAge)
		c.directory.Sweep(c.now(), replied+1 > (followed+1)/2)
		c.loads.expire(c.now())
		c.work.expire(c.now())
	})
}

// runLeaderLoop does what falls to the leader, and logs each change of leader.
func (c *Coordinator) runLeaderLoop(ctx context.Context) error {
	var lastLeader uint64
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_ = daemon.Every(ctx, reconcileInterval, func() {
			if m := c.group.current.Load(); m != nil {
				if err := c.reconciler.step(ctx, m); err != nil {
					c.log.DebugContext(ctx, "replica set not changed", "error", err)
				}
			}
		})
	})
	return daemon.Every(ctx, tasksInterval, func() {
		m := c.group.current.Load()
		if m == nil {
			return
		}
		if st := m.host.Status(); st.Leader != lastLeader {
			lastLeader = st.Leader
			addr, _ := m.addresses.Address(st.Leader)
			event.Log(ctx, c.log, slog.LevelInfo, event.LeaderChanged, slog.Uint64("leader", st.Leader), slog.String("peer", addr),
				slog.Uint64("term", st.Term), slog.String("role", st.Role.String()), slog.Any("voters", st.Voters), slog.Any("learners", st.Learners))
		}
		if c.deps.Cloud != nil {
			c.tasks.step(ctx, m)
		}
	})
}

// stop hands the leadership over before this replica ends, so that a planned
// stop costs no election, and lets go of the calls that are kept waiting.
func (c *Coordinator) stop(ctx context.Context) {
	c.stopOnce.Do(func() { close(c.stopping) })
	m := c.group.current.Load()
	if m == nil || !m.leading() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	st := m.host.Status()
	for _, id := range st.Voters {
		if id == st.ID || c.reconciler.sinceLastReply(m, id) > maxReplyAge {
			continue
		}
		if m.host.TransferLeadership(ctx, id) == nil {
			return
		}
	}
}

// handoverTimeout bounds the search for a successor at a planned stop.
const handoverTimeout = 2 * time.Second
