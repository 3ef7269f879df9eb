package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/membership"
	"savoryreel.example/savoryreel/records"
)

// join builds this entry's part in the membership.
func (e *Entry) join() error {
	var err error
	e.members, err = membership.New(membership.Config{
		Self: instance.Member{
			ID: e.cfg.ID, Incarnation: e.incarnation, Role: instance.RoleEntry, Region: e.cfg.Region, Zone: e.cfg.Zone,
			CallerAddress: e.cfg.advertisedAddress(), LinkAddress: e.cfg.LinkListen, State: instance.StateServing,
		},
		Seeds: e.cfg.Seeds, Merge: records.Merge,
	}, membership.Deps{Pool: e.pool, Log: e.deps.Log})
	if err != nil {
		return err
	}
	e.members.Subscribe(e.memberEvent)
	return nil
}

// publishLeaving spreads that this entry leaves for good.
func (e *Entry) publishLeaving() {
	e.members.SetSelf(func(m *instance.Member) { m.State = instance.StateLeaving })
}

// publishLoad spreads how much of its capacity this entry uses.
func (e *Entry) publishLoad() {
	load := float64(e.unfinished()) / float64(e.cfg.Capacity)
	e.members.SetSelf(func(m *instance.Member) { m.Load = load })
}

// publishVersion spreads which catalogue version is in force here.
func (e *Entry) publishVersion(version uint64) {
	e.members.SetSelf(func(m *instance.Member) { m.Catalogue = version })
}

// servingEntries lists the entries that callers may be sent to: those that serve
// and that no planned stop covers.
func (e *Entry) servingEntries() []*instance.Member {
	c, now := e.follower.current.Load(), e.deps.Now()
	var out []*instance.Member
	for _, m := range e.members.View().Members(instance.RoleEntry) {
		stopped := c != nil && c.instanceStopped(m.ID, m.Zone, now)
		if m.State == instance.StateServing && !m.Suspected && !stopped {
			out = append(out, m)
		}
	}
	return out
}

// peerLinks lists the link addresses of other entries.
func (e *Entry) peerLinks() []string {
	var out []string
	for _, m := range e.members.View().Members(instance.RoleEntry) {
		if m.ID != e.cfg.ID {
			out = append(out, m.LinkAddress)
		}
	}
	return out
}

// StatusView is an entry's state for operators.
type StatusView struct {
	ID             string             `json:"id"`
	Zone           string             `json:"zone"`
	Phase          string             `json:"phase"`
	Catalogue      uint64             `json:"catalogueVersion"`
	ConfirmedAgeMs int64              `json:"confirmedAgeMs"`
	Unfinished     int                `json:"unfinished"`
	Members        []*instance.Member `json:"members"`
	Servers        []*instance.Server `json:"servers"`
	Error          string             `json:"error,omitempty"`
}

func (e *Entry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	v := StatusView{
		ID: e.cfg.ID, Zone: e.cfg.Zone, Phase: e.lifecycle.current().String(), Unfinished: e.unfinished(),
		Members: e.members.View().Members(""), Servers: e.members.View().AllServers(),
	}
	if c := e.follower.current.Load(); c != nil {
		v.Catalogue = c.reply.Version
		v.ConfirmedAgeMs = e.follower.describe().Age.Milliseconds()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator's connection is gone: nobody to tell
}

// memberEvent takes in one change of the membership.
func (e *Entry) memberEvent(ev membership.Event) {
	switch {
	case ev.Server != nil:
		e.serverChanged(ev.Server)
		if ev.Kind == membership.ServerLeaving {
			e.evacuations.serverLeaving(ev.Server)
		}
	case ev.Member != nil:
		e.memberChanged(ev.Member)
	case ev.Record != nil:
		e.recordChanged(ev.Record)
	}
}

func (e *Entry) serverChanged(s *instance.Server) {
	kind := event.ServerAnnounced
	switch s.State {
	case instance.StateLeaving:
		kind = event.ServerLeaving
	case instance.StateGone:
		kind = event.ServerGone
	}
	event.Log(e.ctx, e.deps.Log, slog.LevelDebug, kind,
		slog.String("server", s.ID), slog.Uint64("incarnation", s.Incarnation),
		slog.String("zone", s.Zone), slog.String("heardBy", s.HeardBy))
	e.lanes.sync(e.members.View().AllServers())
	e.guard.serverChanged(s)
	e.guard.membersChanged()
	e.retries.setServers(len(e.members.View().AllServers()))
}

func (e *Entry) memberChanged(m *instance.Member) {
	event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.MemberChanged,
		slog.String("id", m.ID), slog.String("role", m.Role), slog.String("state", string(m.State)))
	e.guard.membersChanged()
	e.updateEntryCount()
}

// onLeavingServer reports whether an attempt's server is known to leave or to be gone:
// its work goes on elsewhere and is no retry.
func (e *Entry) onLeavingServer(g *grant) bool {
	s, known := e.members.View().Server(g.verdict.Server)
	return known && (s.State != instance.StateServing || s.Incarnation != g.verdict.Incarnation)
}

// updateEntryCount tells the lanes how many entries send work to the servers. Those
// that leave still do, for what they have accepted.
func (e *Entry) updateEntryCount() {
	members := e.members.View().Members(instance.RoleEntry)
	index := slices.IndexFunc(members, func(m *instance.Member) bool { return m.ID == e.cfg.ID })
	e.lanes.setEntries(max(1, len(members)), max(0, index))
}

// recordChanged takes in a shared record. One that cannot be read is passed
// over: it was written by a process of another version.
func (e *Entry) recordChanged(r *instance.Record) {
	switch {
	case records.IsQuarantine(r.Key):
		if record, err := records.DecodeQuarantine(r.Key, r.Body); err == nil {
			e.guard.merge(record)
		}
	case records.IsNotice(r.Key):
		if notice, err := records.DecodeNotice(r.Key, r.Body); err == nil {
			e.applyNotice(notice)
		}
	}
}

// applyNotice follows a reclaim notice: for this entry's own instance it leaves; a
// backend server gets no new work from now on, whatever it says of itself, and
// its requests are moved off in time.
func (e *Entry) applyNotice(n fleet.Notice) {
	remaining := n.Ends().Sub(e.deps.Now())
	if remaining <= 0 {
		return
	}
	if n.Instance == e.cfg.ID {
		e.leaveWithin(remaining)
		return
	}
	e.reclaimNotices.add(n)
	e.refreshPlannedStops()
	if s, known := e.members.View().Server(n.Instance); known && s.State == instance.StateServing {
		leaving := *s
		leaving.LeavingIn = int(remaining.Milliseconds())
		e.evacuations.serverLeaving(&leaving)
	}
}

// reclaimNotices are the reclaim notices of backend servers.
type reclaimNotices struct {
	mu   sync.Mutex
	ends map[string]time.Time // by instance
}

// add notes a notice until a while after its end.
func (t *reclaimNotices) add(n fleet.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends[n.Instance] = n.Ends().Add(noticeGrace)
}

// noticeGrace is how long after its end a notice still keeps work from a server. By
// then the instance is gone; one that was spared after all serves again.
const noticeGrace = time.Minute

func (t *reclaimNotices) covers(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, known := t.ends[id]
	if known && now.After(end) {
		delete(t.ends, id)
		return false
	}
	return known
}
