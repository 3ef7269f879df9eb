package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

var epoch = time.Unix(1_700_000_000, 0)

func newStore() *Store {
	return NewStore(Config{OverdueAfter: 4 * time.Second, EntryExpiry: 2 * time.Second, AddressHold: 1800 * time.Millisecond, ForgetAfter: time.Minute})
}

func heartbeat(id string, incarnation, sequence uint64, state instance.State) instance.Announcement {
	return instance.Announcement{
		ID: id, Incarnation: incarnation, Sequence: sequence, State: state,
		Address: "10.0.0.1:" + id[1:], Zone: "z", Slots: 4, Services: []string{"web"},
	}
}

func stateOf(s *Store, id string) instance.State {
	for _, rec := range s.Servers(epoch) {
		if rec.ID == id {
			return rec.State
		}
	}
	return instance.StateGone
}

// Guards against a delayed heartbeat that returns a leaving server to serving: requests sent
// to it would be cut off when it ends. Depends on the order of states in version.newerThan.
func TestLateHeartbeatDoesNotRevertLeave(t *testing.T) {
	s := newStore()
	s.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	s.Announce(heartbeat("s1", 1, 3, instance.StateLeaving), epoch)
	s.Announce(heartbeat("s1", 1, 2, instance.StateServing), epoch)
	require.Equal(t, instance.StateLeaving, stateOf(s, "s1"))
	s.Announce(heartbeat("s1", 1, 4, instance.StateServing), epoch)
	require.Equal(t, instance.StateLeaving, stateOf(s, "s1"))
	s.Leave("s1", 0, epoch)
	s.Announce(heartbeat("s1", 1, 5, instance.StateLeaving), epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(heartbeat("s1", 2, 1, instance.StateServing), epoch)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"), "the server has restarted")
}

// Guards against a delayed heartbeat of a crashed server whose address another server has
// taken: requests for the service of the first would go to the second.
func TestLateHeartbeatDoesNotReclaimAddress(t *testing.T) {
	s := newStore()
	old, successor := heartbeat("s1", 100, 5, instance.StateServing), heartbeat("s2", 200, 1, instance.StateServing)
	successor.Address, successor.Services = old.Address, []string{"chat"}
	s.Announce(old, epoch)
	s.Announce(successor, epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	old.Sequence = 6
	s.Announce(old, epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	require.Equal(t, instance.StateServing, stateOf(s, "s2"))
}

// Guards against the same failure for servers without an incarnation, if the delayed heartbeat
// is the first that the replica receives of the old server: the new server would lose its
// address and be marked gone. Depends on Config.AddressHold.
func TestLateHeartbeatWithoutIncarnationDoesNotReclaimAddress(t *testing.T) {
	s := newStore()
	old, successor := heartbeat("s1", 0, 5, instance.StateServing), heartbeat("s2", 0, 1, instance.StateServing)
	successor.Address = old.Address
	s.Announce(successor, epoch)
	s.Announce(old, epoch.Add(time.Second))
	require.Equal(t, instance.StateServing, stateOf(s, "s2"))
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(old, epoch.Add(3*time.Second))
	require.Equal(t, instance.StateServing, stateOf(s, "s1"), "the address is free once AddressHold has passed since the last heartbeat of the other server")
}

// Guards against a leave that is lost because the server that had its address before has sent a
// heartbeat a moment ago: requests would go on reaching it, through the replicas that know it.
func TestLeaveIsRecordedWhileAnotherServerHasTheAddress(t *testing.T) {
	s := newStore()
	previous, successor := heartbeat("s1", 0, 5, instance.StateServing), heartbeat("s2", 0, 1, instance.StateServing)
	successor.Address = previous.Address
	s.Announce(previous, epoch)
	s.Announce(successor, epoch.Add(time.Second))
	require.False(t, s.Holds(&successor))
	successor.State, successor.Sequence = instance.StateLeaving, 2
	s.Announce(successor, epoch.Add(1100*time.Millisecond))
	require.True(t, s.Holds(&successor))
	require.Equal(t, instance.StateLeaving, stateOf(s, "s2"))
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
}

// Guards against a server that returns after its leave: a replica that has just started
// receives the leave first, and then an older record of the server from another replica.
func TestLeaveBeforeFirstHeartbeat(t *testing.T) {
	s := newStore()
	s.Leave("s1", 0, epoch)
	s.Announce(heartbeat("s1", uint64(epoch.Add(-time.Minute).UnixMilli()), 9, instance.StateServing), epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(heartbeat("s1", uint64(epoch.Add(time.Second).UnixMilli()), 1, instance.StateServing), epoch)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
}

// Guards against a leave that is ignored because the server's clock, by which it numbers its starts,
// is ahead of or behind that of the replica: requests would go on reaching it.
func TestLeaveDoesNotDependOnClocks(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, -time.Second, 0, time.Second, time.Hour} {
		s := newStore()
		s.Announce(heartbeat("s1", uint64(epoch.Add(offset).UnixMilli()), 1, instance.StateServing), epoch)
		require.True(t, s.Leave("s1", 0, epoch.Add(time.Minute)), "offset %s", offset)
		require.Equal(t, instance.StateGone, stateOf(s, "s1"), "offset %s", offset)

		s = newStore() // the leave is known before the server
		s.Leave("s1", 0, epoch)
		s.Announce(heartbeat("s1", uint64(epoch.Add(offset).UnixMilli()), 1, instance.StateServing), epoch.Add(time.Second))
		require.Equal(t, instance.StateGone, stateOf(s, "s1"), "offset %s, unknown", offset)
	}
}

// Guards against a leave that an entry ignores, since the replica that received it did not know the
// server: all replicas had restarted. A leave that arrives late must not hold for a later start.
func TestUnstatedLeaveHoldsForTheStartThatIsKnown(t *testing.T) {
	entry, replica := NewStore(Config{ForgetAfter: time.Minute}), newStore()
	serving := func(incarnation uint64) []Server {
		return []Server{{Announcement: heartbeat("s1", incarnation, 1, instance.StateServing)}}
	}
	entry.Merge(Origin{Replica: "a", Incarnation: 1}, serving(7), nil, epoch)
	replica.Leave("s1", 0, epoch.Add(time.Second))
	packed, err := replica.EntryChangesSince(0, epoch.Add(1100*time.Millisecond))
	require.NoError(t, err)
	left, err := packed.Servers.Unpack()
	require.NoError(t, err)
	require.True(t, entry.Merge(Origin{Replica: "b", Incarnation: 1}, left, nil, epoch.Add(1100*time.Millisecond)))
	require.Equal(t, instance.StateGone, stateOf(entry, "s1"))

	entry.Merge(Origin{Replica: "a", Incarnation: 1}, serving(9), nil, epoch.Add(3*time.Second))
	require.Equal(t, instance.StateServing, stateOf(entry, "s1"), "a later start")
	left[0].HeartbeatAge = 3 * time.Second
	entry.Merge(Origin{Replica: "c", Incarnation: 1}, left, nil, epoch.Add(4*time.Second))
	require.Equal(t, instance.StateServing, stateOf(entry, "s1"), "the leave is older than what is known of this start")
}

// Guards against a server that starts again under its id and is never used, since a leave that came
// before its first start was known would hold for each later one.
func TestLeaveBeforeFirstHeartbeatEnds(t *testing.T) {
	s := newStore()
	s.Leave("s1", 0, epoch)
	s.Announce(heartbeat("s1", 7, 1, instance.StateServing), epoch.Add(unstatedLeaveTTL))
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
}

// Guards against a leave that names a start which this replica doesn't know yet, and is recorded for
// the one before: the new one would be used as soon as its record arrives.
func TestLeaveOfUnknownStartHoldsForThatStart(t *testing.T) {
	s := newStore()
	s.Announce(heartbeat("s1", 1, 9, instance.StateServing), epoch)
	s.Leave("s1", 2, epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(heartbeat("s1", 2, 1, instance.StateServing), epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(heartbeat("s1", 3, 1, instance.StateServing), epoch)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
	s.Leave("s1", 2, epoch)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"), "a late leave of an earlier start")
}

// Guards against an isolated replica that marks all servers unreachable, and against a server
// that stops without an announcement and stays in use.
func TestOverdueServerIsUnreachableOnlyIfConfirmed(t *testing.T) {
	s := newStore()
	s.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	s.Sweep(epoch.Add(5*time.Second), false)
	require.False(t, s.Servers(epoch)[0].Unreachable)
	s.Sweep(epoch.Add(5*time.Second), true)
	require.True(t, s.Servers(epoch)[0].Unreachable)
	s.Announce(heartbeat("s1", 1, 2, instance.StateServing), epoch.Add(6*time.Second))
	require.False(t, s.Servers(epoch)[0].Unreachable)
}

// Guards against stores that differ permanently because the same records arrived in another
// order or twice: their processes would send requests to different servers.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []instance.State{instance.StateServing, instance.StateLeaving, instance.StateGone}
		var records []Server
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			id := fmt.Sprintf("s%d", rapid.IntRange(1, 3).Draw(t, "id"))
			records = append(records, Server{Announcement: heartbeat(id,
				rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "sequence"),
				rapid.SampledFrom(states).Draw(t, "state"))})
		}
		a, b := newStore(), newStore()
		a.Merge(Origin{}, records, nil, epoch)
		shuffled := rapid.Permutation(records).Draw(t, "order")
		b.Merge(Origin{}, append(shuffled, shuffled...), nil, epoch)
		require.Equal(t, a.Servers(epoch), b.Servers(epoch))
	})
}

// Guards against waking every waiting call at each heartbeat, and against heartbeats that are
// not forwarded to other replicas.
func TestHeartbeatAloneIsNoChange(t *testing.T) {
	s := newStore()
	s.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	seen := s.Since(0, epoch).Seq
	change, changed, urgentlyChanged := s.ChangedSince(seen)
	require.Equal(t, Change{}, change)
	s.Announce(heartbeat("s1", 1, 2, instance.StateServing), epoch)
	change, _, _ = s.ChangedSince(seen)
	require.Equal(t, Change{}, change, "a heartbeat without a change must not wake waiting calls")
	require.Empty(t, s.Since(seen, epoch).Servers)
	forwarded, _ := s.HeartbeatsSince(seen, nil, epoch)
	require.Equal(t, Heartbeats{{Key: keyOf("s1", 1), Sequence: 2}}, forwarded, "the heartbeat must be sent to replicas with the next message")
	s.Announce(heartbeat("s1", 1, 3, instance.StateLeaving), epoch)
	<-changed
	<-urgentlyChanged
	change, _, _ = s.ChangedSince(seen)
	require.Equal(t, Change{Servers: true, Urgent: true}, change)
}

// Guards against referring callers to entries that are leaving or whose heartbeats stopped.
func TestOnlyServingEntriesAreLive(t *testing.T) {
	s := newStore()
	s.MergeEntry(Entry{Name: "e1", Incarnation: 1, State: instance.StateServing}, epoch)
	s.MergeEntry(Entry{Name: "e2", Incarnation: 1, State: instance.StateServing}, epoch.Add(-3*time.Second))
	require.Len(t, s.LiveEntries(epoch), 1)
	s.MergeEntry(Entry{Name: "e1", Incarnation: 1, Sequence: 1, State: instance.StateLeaving}, epoch)
	s.MergeEntry(Entry{Name: "e1", Incarnation: 1, State: instance.StateServing}, epoch)
	require.Empty(t, s.LiveEntries(epoch), "a leaving entry is not live")
}

// Guards against Sweep dropping records by age alone: an entry receives no heartbeats, only
// changes, so a server that serves unchanged for minutes would disappear from it.
func TestUnchangedServerIsNotDropped(t *testing.T) {
	s := NewStore(Config{ForgetAfter: time.Minute})
	s.Merge(Origin{Replica: "a"}, []Server{{Announcement: heartbeat("s1", 1, 1, instance.StateServing)}, {Announcement: heartbeat("s2", 1, 1, instance.StateLeaving)}}, nil, epoch)
	s.Sweep(epoch.Add(2*time.Minute), false)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
	require.Equal(t, instance.StateGone, stateOf(s, "s2"), "the record of a leaving server is dropped")
}
