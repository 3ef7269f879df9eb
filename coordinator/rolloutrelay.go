package coordinator

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/link"
)

const (
	// relayInterval is the interval at which the leader asks other replicas for the reports of entries that
	// have not called it, and relayTimeout bounds a call.
	relayInterval = 500 * time.Millisecond
	relayTimeout  = 400 * time.Millisecond
	// silentAfter is the age of an entry's last report from which it is asked for elsewhere. Entries call
	// at least once a second while a rollout is in progress.
	silentAfter = 1500 * time.Millisecond
)

// relayReports fetches, while this replica leads, the reports of entries that reach only other replicas. A
// leader that is cut off from the entries would otherwise take a faulty version for one with few requests.
func (c *Coordinator) relayReports(ctx context.Context) error {
	return daemon.Every(ctx, relayInterval, func() {
		m := c.group.current.Load()
		if m == nil || !m.leading() {
			return
		}
		names := c.live.current(c.now()).names
		for _, r := range m.state.lastRollouts() {
			if r.Phase.Ended() {
				continue
			}
			if silent := c.evidence.silent(r.Service, r.ID, names, c.now()); len(silent) > 0 {
				c.fetchReports(ctx, api.RolloutReportsRequest{ID: r.ID, Service: r.Service, Entries: silent})
			}
		}
	})
}

// fetchReports merges the reports that the other replicas have.
func (c *Coordinator) fetchReports(ctx context.Context, req api.RolloutReportsRequest) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range c.follower.Replicas() {
		wg.Go(func() {
			reply, err := link.Call[api.RolloutReportsReply](ctx, c.pool, addr, api.MethodRolloutReports, req)
			if err != nil {
				c.log.DebugContext(ctx, "reports on a rollout not fetched", "peer", addr, "error", err) // asked again
				return
			}
			for _, r := range reply.Reports {
				report := api.RolloutReport{ID: req.ID, Service: req.Service, Routes: r.Routes}
				c.evidence.merge(entryIncarnation{r.Entry, r.Incarnation}, &report)
			}
		})
	}
	wg.Wait()
}

// rolloutReports returns the reports that this replica has received.
func (c *Coordinator) rolloutReports(_ context.Context, _ link.PeerInfo, req api.RolloutReportsRequest) (api.RolloutReportsReply, error) {
	return api.RolloutReportsReply{Reports: c.evidence.of(req.Service, req.ID, req.Entries)}, nil
}
