package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/link"
)

// collectTimeout bounds the collection of usage from the other replicas. What a replica that does not reply in time
// knows is left out, as it was before.
const collectTimeout = 200 * time.Millisecond

// collectUsage fetches what the other voters know of the usage of entries that have ended, from a window on. An entry
// calls each replica at times of its own: one that is killed has reported more to some replica than to the leader, and a
// replica that is new has no reports of entries that ended before.
func (c *Coordinator) collectUsage(ctx context.Context, from int64) {
	others, _, _ := c.voters()
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, addr := range others {
		calls.Go(func() {
			reply, err := link.Call[api.EndedUsageReply](ctx, c.pool, addr, api.MethodEndedUsage, api.EndedUsageRequest{From: from})
			if err != nil {
				return
			}
			for _, e := range reply.Entries {
				c.usage.record(entryIncarnation{e.Name, e.Incarnation}, e.OpenWindow, e.Usage)
			}
		})
	}
	calls.Wait()
}

// endedUsage replies with the usage of entries that are not live as this replica knows.
func (c *Coordinator) endedUsage(_ context.Context, _ link.PeerInfo, req api.EndedUsageRequest) (api.EndedUsageReply, error) {
	return api.EndedUsageReply{Entries: c.usage.ended(req.From, c.directory.LiveEntries(c.now()))}, nil
}

// ended returns the counts, from a window on, of the incarnations of entries that are not among the live ones. All
// later windows are part of it: the receiver takes the open window for the end of what it has.
func (b *usageTable) ended(from int64, live []directory.Entry) (list []api.EntryUsage) {
	alive := make(map[entryIncarnation]bool, len(live))
	for i := range live {
		alive[entryIncarnation{live[i].Name, live[i].Incarnation}] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for entry, u := range b.incarnations {
		if alive[entry] || u.openWindow < from {
			continue
		}
		e := api.EntryUsage{Name: entry.name, Incarnation: entry.incarnation, OpenWindow: u.openWindow}
		for w, counts := range u.counts {
			if w >= from {
				e.Usage = append(e.Usage, api.WindowUsage{Window: w, Counts: maps.Clone(counts)})
			}
		}
		list = append(list, e)
	}
	return list
}
