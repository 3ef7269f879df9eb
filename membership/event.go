package membership

import (
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events. A change of load alone is no event; read it from the View.
const (
	ServerJoined  EventKind = iota + 1 // new, restarted under a new incarnation, or no longer gone
	ServerChanged                      // changed description, such as its adapters
	ServerLeaving
	ServerGone
	MemberJoined
	MemberChanged // changed description or suspicion
	MemberLeaving
	MemberGone
	RecordChanged
)

// Event is one change of the view. The pointer that matches Kind is set.
type Event struct {
	Kind   EventKind
	Server *instance.Server
	Member *instance.Member
	Record *instance.Record
}

// drainChanges returns what has changed since the last call, as updates of the view
// and events for subscribers, in a fixed order.
func (c *core) drainChanges(now time.Time) ([]instance.Update, []Event) {
	if len(c.changed) == 0 {
		return nil, nil
	}
	var updates []instance.Update
	var events []Event
	for _, ref := range sortedKeys(c.changed) {
		r := c.changed[ref]
		if c.byID[recordKey{r.kind, r.id}] != r {
			updates = c.appendRemoval(updates, r)
			continue
		}
		u, e := c.describeChange(r, now)
		updates = append(updates, u)
		if e.Kind != 0 {
			events = append(events, e)
		}
	}
	clear(c.changed)
	// Removals go first: a removal of an old incarnation must not remove the new one.
	slices.SortStableFunc(updates, func(a, b instance.Update) int { return removalRank(b) - removalRank(a) })
	return updates, events
}

func removalRank(u instance.Update) int {
	if u.RemoveServer != "" || u.RemoveMember != "" {
		return 1
	}
	return 0
}

func (c *core) appendRemoval(updates []instance.Update, r *record) []instance.Update {
	switch r.kind {
	case recordServer:
		return append(updates, instance.Update{RemoveServer: r.id})
	case recordMember:
		return append(updates, instance.Update{RemoveMember: r.id})
	default:
		return updates
	}
}

func (c *core) describeChange(r *record, now time.Time) (instance.Update, Event) {
	if r.kind == recordShared {
		rec := &instance.Record{Key: r.id, Version: r.bodySeq, Body: r.body}
		return instance.Update{Record: rec}, Event{Kind: RecordChanged, Record: rec}
	}
	state := r.state(now, &c.cfg)
	published := publishedState{state: state, inc: r.inc, bodySeq: r.bodySeq, suspected: r.suspected()}
	before := r.published
	r.published = published
	if r.kind == recordServer {
		s := c.viewServer(r, state, now)
		return instance.Update{Server: s}, Event{Kind: serverEvent(before, published), Server: s}
	}
	m := c.viewMember(r, state)
	return instance.Update{Member: m}, Event{Kind: memberEvent(before, published), Member: m}
}

// publishedState is the state of an instance that subscribers last received.
type publishedState struct {
	state     instance.State // empty: none yet
	inc       uint64
	bodySeq   uint64
	suspected bool
}

func serverEvent(before, after publishedState) EventKind {
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

func memberEvent(before, after publishedState) EventKind {
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

func (c *core) viewServer(r *record, state instance.State, now time.Time) *instance.Server {
	b := r.server
	s := &instance.Server{Announcement: instance.Announcement{
		ID: r.id, Incarnation: r.inc, Sequence: r.status.Seq, Address: b.Address,
		Region: b.Region, Zone: b.Zone, Class: b.Class, State: state,
		Model: b.Model, Version: b.Version, Role: b.Role,
		Adapters: b.Adapters, Services: b.Services,
		Slots: b.Slots, ChecksFences: b.ChecksFences,
		Load: restoreLoad(r.load, now), LeavingIn: int(r.status.Notice),
	}}
	if r.announcedSeq >= r.load.Seq && !r.announcedAt.IsZero() {
		s.Load = r.exactLoad
	}
	s.HeardBy = c.homeOf(r)
	return s
}

func (c *core) homeOf(r *record) string { return c.topology.homes[r.status.Home] }

func (c *core) viewMember(r *record, state instance.State) *instance.Member {
	b := r.member
	return &instance.Member{
		ID: r.id, Incarnation: r.inc, Role: b.Role, Region: b.Region, Zone: b.Zone,
		CallerAddress: b.Caller, LinkAddress: b.Link, State: state,
		Load: float64(r.load.Running) / 100, Catalogue: r.load.Catalogue,
		Suspected: r.suspected(),
	}
}
