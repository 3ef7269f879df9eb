package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
)

// maxWatchWait bounds how long a watch call waits, whatever its request says.
const maxWatchWait = 2 * time.Second

// latestCatalogue holds the newest catalogue that this replica has received, from its
// own log or from another replica, and wakes the calls that wait for a newer one.
//
// A replica that lags may pass on a catalogue before its own log contains it. This is
// safe, since every copy originates from a committed entry.
type latestCatalogue struct {
	mu       sync.Mutex
	revision uint64
	document []byte
	changed  chan struct{} // closed at the next update
}

func newLatestCatalogue() *latestCatalogue { return &latestCatalogue{changed: make(chan struct{})} }

// update stores a committed catalogue if it is newer, and reports whether it was.
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

// get returns the newest catalogue, and a channel that is closed at the next update.
// document is nil if there is none.
func (r *latestCatalogue) get() (revision uint64, document []byte, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.document, r.changed
}

// watch handles one call of a process that follows this replica. It waits until there is
// a change since the last reply to the sender, or until the requested wait is over.
func (c *Coordinator) watch(ctx context.Context, from link.PeerInfo, req api.WatchRequest) (api.WatchReply, error) {
	receivedAt := c.now()
	c.recordSender(from, req)
	c.suspects.merge(req.BrokenOff)
	seen := req.Seen
	if req.Incarnation != c.incarnation {
		seen = 0
	}
	if !c.bringsShare(&req) && req.Detail != api.DetailNone {
		c.waitForChange(ctx, from, req, seen)
	}
	now := c.now()
	live := c.live.current(now)
	reply := api.WatchReply{
		Incarnation: c.incarnation, Zone: c.cfg.Node.Zone, Replicas: c.replicas(), LiveEntries: len(live.names), Clock: now,
		Held: now.Sub(receivedAt),
	}
	if err := c.addChanges(&reply, from, &req, seen); err != nil {
		return api.WatchReply{}, err
	}
	if req.Entry != nil {
		reply.LiveDigest = live.digest
		if !req.RevisionOnly {
			reply.HasLoads, reply.Loads = true, c.loads.loadOfOthers(req.Entry.Name, now)
			if live.digest != req.LiveDigest {
				reply.LiveNames = live.names
			}
		}
		reply.Work = c.work.rates(now)
		reply.Share = c.shareReply(req.Entry.Name)
	}
	if req.Role == api.RoleEntry {
		c.addSuspects(&reply, &req)
	}
	c.addRollouts(&reply, &req)
	if req.Role == api.RoleEntry {
		reply.Mixed = c.versions.mixed(c.loggedVersions())
	}
	revision, document, _ := c.catalogue.get()
	reply.Revision = revision
	if document != nil && !req.RevisionOnly && !req.NoDocument && req.Lacks(revision) {
		reply.Document = document
	}
	return reply, nil
}

// addChanges adds to a reply what changed in the directory after seen, in the requested
// detail.
func (c *Coordinator) addChanges(reply *api.WatchReply, from link.PeerInfo, req *api.WatchRequest, seen uint64) error {
	now := c.now()
	switch {
	case req.Detail == api.DetailNone:
		reply.Seen = seen
		return nil
	case req.Detail == api.DetailStatuses:
		reply.Statuses, reply.Seen = c.directory.StatusesSince(seen)
	case req.Role == api.RoleEntry:
		changes, err := c.directory.EntryChangesSince(seen, now)
		if err != nil {
			return trace.Wrap(err, "peer=%s", from.ID)
		}
		reply.Packed, reply.Statuses, reply.Entries, reply.Seen = changes.Servers, changes.Statuses, changes.Entries, changes.Seq
	default:
		changes := c.directory.Since(seen, now)
		reply.Servers, reply.Entries, reply.Seen = changes.Servers, changes.Entries, changes.Seq
	}
	reply.Servers = append(reply.Servers, c.directory.Records(req.Missing, now)...)
	if req.AllEntries {
		reply.Entries = c.directory.Entries(now)
	}
	if req.Role == api.RoleControl {
		reply.ServerBeats, reply.EntryBeats = c.directory.HeartbeatsSince(seen, req.Unreached, now)
	}
	if len(reply.Servers)+len(reply.Packed)+len(reply.Entries)+len(reply.Statuses) > 0 {
		c.pacers.reported(from, req.Role, now)
	}
	return nil
}

// bringsShare reports whether the reply brings an entry a grant of its share that it has not received. The
// entry may lack a share, or others wait until it has shrunk its own, so it gets the reply without a wait.
func (c *Coordinator) bringsShare(req *api.WatchRequest) bool {
	return req.Entry != nil && c.shareReply(req.Entry.Name).Grant.Index > req.Share.Held
}

// recordSender records what the request says about its sender.
func (c *Coordinator) recordSender(from link.PeerInfo, req api.WatchRequest) {
	if req.Entry != nil {
		c.directory.MergeEntry(*req.Entry, c.now())
		if req.Incarnation == 0 || req.Incarnation == c.incarnation {
			// A request for an earlier incarnation of this replica leaves out the counts that were
			// reported to that one. Recorded here, it would pass for all counts of the entry.
			c.usage.record(entryIncarnation{req.Entry.Name, req.Entry.Incarnation}, req.OpenWindow, req.Usage)
		}
		c.shares.record(entryIncarnation{req.Entry.Name, req.Entry.Incarnation}, req.Share, c.now())
		c.loads.record(req.Entry.Name, req.Loads, c.now())
		c.work.record(entryIncarnation{req.Entry.Name, req.Entry.Incarnation}, req.Work, c.now())
		c.evidence.record(entryIncarnation{req.Entry.Name, req.Entry.Incarnation}, req.Rollouts, c.now())
	}
	if req.Role == api.RoleControl && from.Address != "" {
		c.recordCaller(from.Address)
	}
}

// waitForChange returns when there is a change that the sender has not seen, when the
// requested wait is over, or when this replica stops.
//
// While the report of a change is delayed, only a more urgent one wakes the call: otherwise
// each change in a series would wake every waiting call.
func (c *Coordinator) waitForChange(ctx context.Context, from link.PeerInfo, req api.WatchRequest, seen uint64) {
	ctx, cancel := context.WithTimeout(ctx, min(max(req.Wait, 0), maxWatchWait))
	defer cancel()
	for ctx.Err() == nil {
		revision, document, catalogueChanged := c.catalogue.get()
		if document != nil && req.WantsRevision(revision) {
			return
		}
		rolloutsVersion, rolloutsChanged := c.rollouts.currentVersion()
		if rolloutsVersion != req.RolloutsVersion {
			return
		}
		_, suspectsVersion, suspectsChanged := c.suspects.current()
		if req.Role == api.RoleEntry && suspectsVersion != req.SuspectsVersion {
			return
		}
		change, directoryChanged, urgentlyChanged := c.directory.ChangedSince(seen)
		var due <-chan time.Time
		if change.Servers || change.Entries && req.Detail != api.DetailStatuses {
			delay := c.pacers.delay(from, req.Role, change.Urgent, c.now())
			if delay == 0 {
				return
			}
			due, directoryChanged = time.After(delay), urgentlyChanged
			if change.Urgent {
				directoryChanged = nil
			}
		}
		select {
		case <-catalogueChanged:
		case <-suspectsChanged:
		case <-rolloutsChanged:
		case <-directoryChanged:
		case <-due:
		case <-c.stopping:
			return
		case <-ctx.Done():
		}
	}
}
