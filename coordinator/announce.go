package coordinator

import (
	"context"
	"errors"
	"log/slog"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
)

// errNotRecorded reports a heartbeat that is not recorded, because another server has the address.
var errNotRecorded = errors.New("another server has the address")

// Announce records a backend server's heartbeat. If it says that the server leaves, Announce returns
// nil once a majority of the replicas hold the leave. An error means that the server is to call another
// replica.
func (c *Coordinator) Announce(ctx context.Context, a instance.Announcement) error {
	if err := c.confirmVersion(ctx, &a); err != nil {
		return err
	}
	if a.State == instance.StateServing {
		if err := c.commitVersion(ctx, &a); err != nil {
			return err
		}
	}
	changed := c.directory.Announce(a, c.now())
	if changed {
		c.logAnnouncement(&a)
	}
	if !c.directory.Holds(&a) {
		return errNotRecorded
	}
	if a.State == instance.StateServing {
		return nil
	}
	return c.holdLeave(ctx, leave{id: a.ID, incarnation: a.Incarnation, stated: true}, a.State, changed)
}

// Leave records that a backend server has left, and returns nil once a majority of the replicas hold
// that. incarnation 0 means that the server did not say which start of it has left.
func (c *Coordinator) Leave(ctx context.Context, id string, incarnation uint64) error {
	before, _ := c.directory.Lookup(id, c.now())
	changed := c.directory.Leave(id, incarnation, c.now())
	if changed {
		event.Log(ctx, c.log, slog.LevelInfo, event.ServerGone, slog.String("server", id), slog.Uint64("incarnation", incarnation))
	}
	return c.holdLeave(ctx, leave{id: id, incarnation: incarnation, stated: incarnation != 0, before: before}, instance.StateGone, changed)
}

// mayMeanUnknownStart reports whether a leave that does not say which start of the server has left may
// mean one that no replica knows any more, since all have just restarted, but entries do: no start that
// serves has sent a heartbeat since this replica started, and no later one has been found.
func (c *Coordinator) mayMeanUnknownStart(l *leave, held *directory.Server) bool {
	age := c.now().Sub(c.startedAt)
	heard := l.before.State == instance.StateServing && l.before.HeartbeatAge < age
	young := age < overdueAfter(c.cfg.Node.AnnounceInterval)
	return !l.stated && young && !heard && held.Incarnation == l.before.Incarnation
}

// logAnnouncement logs a heartbeat that has changed the record of its server.
func (c *Coordinator) logAnnouncement(a *instance.Announcement) {
	kind := event.ServerAnnounced
	if a.State != instance.StateServing {
		kind = event.ServerLeaving
	}
	event.Log(context.Background(), c.log, slog.LevelInfo, kind, slog.String("server", a.ID),
		slog.Uint64("incarnation", a.Incarnation), slog.Uint64("sequence", a.Sequence), slog.String("address", a.Address), slog.String("version", a.Version),
		slog.Any("services", a.Services), slog.String("zone", a.Zone), slog.String("state", string(a.State)))
}

// holdLeave makes a leave that this replica has recorded outlast it, and logs the outcome unless
// nothing was left to do.
func (c *Coordinator) holdLeave(ctx context.Context, l leave, said instance.State, changed bool) error {
	begun := c.now()
	done, err := c.leaves.hold(ctx, l)
	if done {
		return nil
	}
	held, _ := c.directory.Lookup(l.id, c.now())
	if err == nil && c.mayMeanUnknownStart(&l, &held) {
		err = errUnknownStart
	}
	attrs := []slog.Attr{
		slog.String("server", l.id), slog.String("said", string(said)), slog.Uint64("incarnation", l.incarnation), slog.Bool("changed", changed),
		slog.String("held", string(held.State)), slog.Uint64("heldIncarnation", held.Incarnation), slog.Duration("took", c.now().Sub(begun)),
	}
	if err != nil {
		event.Log(ctx, c.log, slog.LevelWarn, event.LeaveNotAcknowledged, append(attrs, slog.String("error", err.Error()))...)
		return err
	}
	event.Log(ctx, c.log, slog.LevelInfo, event.LeaveAcknowledged, attrs...)
	return nil
}

// voters returns the link addresses of the voters other than this replica, how many voters there are,
// and whether this replica is one. total is 0 while that is not known.
func (c *Coordinator) voters() (others []string, total int, self bool) {
	m := c.group.current.Load()
	if m == nil {
		return nil, 0, false
	}
	st := m.host.Status()
	for _, id := range st.Voters {
		if id == st.ID {
			self = true
			continue
		}
		if addr, known := m.addresses.Address(id); known {
			others = append(others, addr)
		}
	}
	return others, len(st.Voters), self
}
