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

// join creates this entry's membership node. Run starts it.
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

// publishLeaving publishes that this entry is leaving for good.
func (e *Entry) publishLeaving() {
	e.members.SetSelf(func(m *instance.Member) { m.State = instance.StateLeaving })
}

// publishLoad publishes the fraction of its capacity that this entry uses.
func (e *Entry) publishLoad() {
	load := float64(e.unfinished()) / float64(e.cfg.Capacity)
	e.members.SetSelf(func(m *instance.Member) { m.Load = load })
}

// publishVersion publishes the catalogue version of this entry.
func (e *Entry) publishVersion(version uint64) {
	e.members.SetSelf(func(m *instance.Member) { m.Catalogue = version })
}

// servingEntries lists the entries that callers may be sent to: those that are serving, are
// not suspected and are not covered by a planned stop in force.
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

// peerLinks lists the link addresses of the other entries.
func (e *Entry) peerLinks() []string {
	var out []string
	for _, m := range e.members.View().Members(instance.RoleEntry) {
		if m.ID != e.cfg.ID {
			out = append(out, m.LinkAddress)
		}
	}
	return out
}

// StatusView is an entry's state as the operations listener returns it, in JSON.
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
	_ = json.NewEncoder(w).Encode(v) // an error means that the operator has disconnected
}

// memberEvent applies one change of the membership.
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

// onLeavingServer reports whether the server of an attempt is leaving, gone or restarted. A
// new attempt on another server then does not count as a retry.
func (e *Entry) onLeavingServer(g *grant) bool {
	if e.lanes.leavesByAnswer(g.verdict.Server, g.verdict.Incarnation) {
		return true
	}
	s, known := e.members.View().Server(g.verdict.Server)
	return known && (s.State != instance.StateServing || s.Incarnation != g.verdict.Incarnation)
}

// updateEntryCount sets the lanes' number of entries that share the servers. It includes
// leaving entries, which still send the requests that they have accepted.
func (e *Entry) updateEntryCount() {
	members := e.members.View().Members(instance.RoleEntry)
	index := slices.IndexFunc(members, func(m *instance.Member) bool { return m.ID == e.cfg.ID })
	e.lanes.setEntries(max(1, len(members)), max(0, index))
	e.retries.setEntries(len(members))
}

// recordChanged applies a shared record. It ignores a record that it cannot decode, which
// a process of another version has written.
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

// applyNotice applies a reclaim notice. If it is for this entry's own instance, the entry
// leaves. A backend server gets no new work from now on, whatever state it announces, and
// its requests are moved off before the notice ends.
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

// reclaimNotices holds the reclaim notices of backend servers.
type reclaimNotices struct {
	mu   sync.Mutex
	ends map[string]time.Time // by instance; includes noticeGrace
}

// add records a notice, which expires noticeGrace after its end.
func (t *reclaimNotices) add(n fleet.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends[n.Instance] = n.Ends().Add(noticeGrace)
}

// noticeGrace is how long after its end a notice still keeps new work off a server. A server
// that has not been reclaimed by then gets work again.
const noticeGrace = time.Minute

// covers reports whether a notice for the instance has not expired. It removes an expired
// one.
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
