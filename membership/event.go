package membership

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// EventKind says what has happened.
type EventKind uint8

// The kinds of event. A change of load alone is no event; read it in the View.
const (
	ServerJoined  EventKind = iota + 1 // new, back under a new incarnation, or heard again
	ServerChanged                      // another body, such as its adapters
	ServerLeaving
	ServerGone
	MemberJoined
	MemberChanged // suspected or no longer so
	MemberLeaving
	MemberGone
	RecordChanged
)

// Event is one change of the view. One of the pointers is set.
type Event struct {
	Kind   EventKind
	Server *instance.Server
	Member *instance.Member
	Record *instance.Record
}

// takeChanges returns what has changed since the last call, for the view and
// for subscribers, in a fixed order.
func (c *core) takeChanges(now time.Time) ([]instance.Update, []Event) {
	if len(c.changed) == 0 {
		return nil, nil
	}
	var updates []instance.Update
	var events []Event
	for _, ref := range sortedKeys(c.changed) {
		r := c.changed[ref]
		if c.ids[recordKey{r.kind, r.id}] != r {
			updates = c.forget(updates, r)
			continue
		}
		u, e := c.describe(r, now)
		updates = append(updates, u)
		if e.Kind != 0 {
			events = append(events, e)
		}
	}
	clear(c.changed)
	// A forgotten incarnation must not follow the one that replaced it.
	slices.SortStableFunc(updates, func(a, b instance.Update) int { return forgets(b) - forgets(a) })
	return updates, events
}

func forgets(u instance.Update) int {
	if u.RemoveServer != "" || u.RemoveMember != "" {
		return 1
	}
	return 0
}

func (c *core) forget(updates []instance.Update, r *record) []instance.Update {
	switch r.kind {
	case recordServer:
		return append(updates, instance.Update{RemoveServer: r.id})
	case recordMember:
		return append(updates, instance.Update{RemoveMember: r.id})
	default:
		return updates
	}
}

func (c *core) describe(r *record, now time.Time) (instance.Update, Event) {
	if r.kind == recordShared {
		rec := &instance.Record{Key: r.id, Version: r.bodySeq, Body: r.body}
		return instance.Update{Record: rec}, Event{Kind: RecordChanged, Record: rec}
	}
	state := r.state(now, &c.cfg)
	shown := appearance{state: state, inc: r.inc, bodySeq: r.bodySeq, suspected: r.suspected()}
	before := r.shown
	r.shown = shown
	if r.kind == recordServer {
		s := c.serverOf(r, state, now)
		return instance.Update{Server: s}, Event{Kind: serverEvent(before, shown), Server: s}
	}
	m := c.memberOf(r, state)
	return instance.Update{Member: m}, Event{Kind: memberEvent(before, shown), Member: m}
}

// appearance is what subscribers were last told of an instance.
type appearance struct {
	state     instance.State // empty: nothing yet
	inc       uint64
	bodySeq   uint64
	suspected bool
}

func serverEvent(before, after appearance) EventKind {
	switch {
	case after == before:
		return 0
	case after.state == instance.StateGone && before.state != instance.StateGone:
		return ServerGone
	case after.state == instance.StateGone:
		return 0
	case after.state == instance.StateLeaving && (before.state != instance.StateLeaving || after.inc != before.inc):
		return ServerLeaving
	case before.state == "" || before.state == instance.StateGone || after.inc != before.inc:
		return ServerJoined
	default:
		return ServerChanged
	}
}

func memberEvent(before, after appearance) EventKind {
	switch serverEvent(before, after) {
	case ServerJoined:
		return MemberJoined
	case ServerLeaving:
		return MemberLeaving
	case ServerGone:
		return MemberGone
	case ServerChanged:
		return MemberChanged
	default:
		return 0
	}
}

func (c *core) serverOf(r *record, state instance.State, now time.Time) *instance.Server {
	b := r.server
	s := &instance.Server{Announcement: instance.Announcement{
		ID: r.id, Incarnation: r.inc, Sequence: r.status.Seq, Address: b.Address,
		Region: b.Region, Zone: b.Zone, Class: b.Class, State: state,
		Model: b.Model, Version: b.Version, Role: b.Role,
		Adapters: b.Adapters, Services: b.Services,
		Slots: b.Slots, ChecksFences: b.ChecksFences,
		Load: unpackLoad(r.load, now), LeavingIn: int(r.status.Notice),
	}}
	if r.heardSeq >= r.load.Seq && !r.heardAt.IsZero() {
		s.Load = r.loadFull
	}
	s.HeardBy = c.homeOf(r)
	return s
}

func (c *core) homeOf(r *record) string { return c.ring.homes[r.status.Home] }

func (c *core) memberOf(r *record, state instance.State) *instance.Member {
	b := r.member
	return &instance.Member{
		ID: r.id, Incarnation: r.inc, Role: b.Role, Region: b.Region, Zone: b.Zone,
		CallerAddress: b.Caller, LinkAddress: b.Link, State: state,
		Load: float64(r.load.Running) / 100, Catalogue: r.load.Catalogue,
		Suspected: r.suspected(),
	}
}
