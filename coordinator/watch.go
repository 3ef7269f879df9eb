package coordinator

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
)

// maxWatchWait bounds how long a call is kept waiting, whatever it asks for.
const maxWatchWait = 2 * time.Second

// latestCatalogue holds the newest catalogue that this replica has seen, from its own
// log or from another replica, and wakes those that wait for a newer one.
//
// A replica that lags passes on what another told it: whoever takes a revision
// as in force must have got it from a committed entry, and every copy comes from
// one.
type latestCatalogue struct {
	mu       sync.Mutex
	revision uint64
	document []byte
	changed  chan struct{}
}

func newLatestCatalogue() *latestCatalogue { return &latestCatalogue{changed: make(chan struct{})} }

// update takes a committed catalogue if it is newer and reports whether it was.
func (r *latestCatalogue) update(revision uint64, document []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if document == nil || r.document != nil && revision <= r.revision {
		return false
	}
	r.revision, r.document = revision, document
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

func (r *latestCatalogue) get() (revision uint64, document []byte, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.document, r.changed
}

// watch answers one call of a process that follows this replica.
func (c *Coordinator) watch(ctx context.Context, from link.PeerInfo, req api.WatchRequest) (api.WatchReply, error) {
	c.recordSender(from, req)
	seen := req.Seen
	if req.Incarnation != c.incarnation {
		seen = 0
	}
	if !c.needsShareVote(&req) {
		c.waitForChange(ctx, req, seen)
	}
	now := c.now()
	changes := c.directory.Since(seen, req.Role == api.RoleControl, now)
	live := c.live.current(now)
	reply := api.WatchReply{
		Incarnation: c.incarnation, Seen: changes.Seq, Servers: changes.Servers, Entries: changes.Entries,
		Replicas: c.replicas(), LiveEntries: len(live.names), Clock: now,
	}
	if req.Entry != nil {
		reply.LiveDigest = live.digest
		if !req.RevisionOnly {
			reply.HasLoads, reply.Loads = true, c.loads.loadOfOthers(req.Entry.Name)
			if live.digest != req.LiveDigest {
				reply.LiveNames = live.names
			}
		}
		reply.Work = c.work.rates()
		reply.ShareVote = c.shares.vote(req.Entry.Name, now)
	}
	revision, document, _ := c.catalogue.get()
	reply.Revision = revision
	if document != nil && !req.RevisionOnly && req.Lacks(revision) {
		reply.Document = document
	}
	return reply, nil
}

// needsShareVote reports whether the sender is an entry that has heard nothing of its share of
// the limits yet. It refuses callers until it has.
func (c *Coordinator) needsShareVote(req *api.WatchRequest) bool {
	return req.Entry != nil && req.ShareDivisor == 0 && c.shares.vote(req.Entry.Name, c.now()).Entries > 0
}

// recordSender takes what the call tells of its sender.
func (c *Coordinator) recordSender(from link.PeerInfo, req api.WatchRequest) {
	if req.Entry != nil {
		c.directory.MergeEntry(*req.Entry, c.now())
		if req.Incarnation == 0 || req.Incarnation == c.incarnation {
			// A call that was meant for the life before leaves out what that one was told. It
			// would pass for all that the entry has counted.
			c.usage.record(entryIncarnation{req.Entry.Name, req.Entry.Incarnation}, req.OpenWindow, req.Usage)
		}
		c.shares.observe(req.Entry.Name, req.ShareDivisor, c.now())
		c.loads.record(req.Entry.Name, req.Loads, c.now())
		c.work.record(entryIncarnation{req.Entry.Name, req.Entry.Incarnation}, req.Work, c.now())
	}
	if req.Role == api.RoleControl && from.Address != "" {
		c.recordCaller(from.Address)
	}
}

// waitForChange returns when the sender should have an answer.
func (c *Coordinator) waitForChange(ctx context.Context, req api.WatchRequest, seen uint64) {
	ctx, cancel := context.WithTimeout(ctx, min(max(req.Wait, 0), maxWatchWait))
	defer cancel()
	for ctx.Err() == nil {
		revision, document, revised := c.catalogue.get()
		if document != nil && req.WantsRevision(revision) {
			return
		}
		hasChanged, changed := c.directory.ChangedSince(seen)
		if hasChanged {
			return
		}
		select {
		case <-revised:
		case <-changed:
		case <-c.stopping:
			return
		case <-ctx.Done():
		}
	}
}
