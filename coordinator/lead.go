package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
)

// sweepInterval is the interval at which expired heartbeats and reports are processed.
const sweepInterval = 500 * time.Millisecond

// judgesServers reports whether this replica may judge servers unreachable, by how many of the voters
// it reaches: a majority, and it has been up for long enough to have received the heartbeats of all
// servers, which all connect again when all replicas restart.
func (c *Coordinator) judgesServers(reached, voters int) bool {
	return voters > 0 && reached > voters/2 && c.now().Sub(c.startedAt) > c.judgeAfter
}

// reachedVoters returns how many of the voters have replied of late, this replica included, and how many
// there are. Replicas that are gone are no voters, however long their addresses are known.
func (c *Coordinator) reachedVoters() (reached, voters int) {
	others, voters, self := c.voters()
	if self {
		reached++
	}
	for _, addr := range others {
		if c.now().Sub(c.follower.LastReply(addr)) <= maxReplyAge {
			reached++
		}
	}
	return reached, voters
}

// sweep marks unreachable servers and entries and drops expired reports.
func (c *Coordinator) sweep(ctx context.Context) error {
	return daemon.Every(ctx, sweepInterval, func() {
		c.directory.Sweep(c.now(), c.judgesServers(c.reachedVoters()))
		c.loads.expire(c.now())
		c.work.expire(c.now())
		c.suspects.expire()
		c.leaves.expire()
	})
}

// runLeaderLoop runs the reconciler and the leader's tasks, and logs changes of leader.
// Both check whether this replica leads.
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

// stop ends waiting watch calls and, if this replica leads, transfers the leadership, so
// that a planned stop needs no election.
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

// handoverTimeout bounds the transfer of leadership at a planned stop.
const handoverTimeout = 2 * time.Second
