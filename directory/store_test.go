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

// A server says that it leaves, and a heartbeat that it sent before arrives after
// that, held up on its way. Users would see their requests cut off when the server
// ends, if the late heartbeat brought it back.
//
// It breaks without the order of states in version.newerThan.
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
	require.Equal(t, instance.StateServing, stateOf(s, "s1"), "it has started again")
}

// A server crashes, and another one gets its address. Then a heartbeat of the
// first one arrives. Requests for its service would go to the second one.
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

// The same where servers do not say when they started, and the first heartbeat
// that a replica gets of the old server is the late one. The new server must not
// lose its address, and must not be lost with it.
//
// It breaks without Config.AddressHold.
func TestLateHeartbeatWithoutIncarnationDoesNotReclaimAddress(t *testing.T) {
	s := newStore()
	old, successor := heartbeat("s1", 0, 5, instance.StateServing), heartbeat("s2", 0, 1, instance.StateServing)
	successor.Address = old.Address
	s.Announce(successor, epoch)
	s.Announce(old, epoch.Add(time.Second))
	require.Equal(t, instance.StateServing, stateOf(s, "s2"))
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(old, epoch.Add(3*time.Second))
	require.Equal(t, instance.StateServing, stateOf(s, "s1"), "the other one was silent for so long that its address is free")
}

// A replica that has just started hears a server's leave before it has ever heard
// of the server. Then another replica tells it of the server as it was before.
func TestLeaveBeforeFirstHeartbeat(t *testing.T) {
	s := newStore()
	s.Leave("s1", 0, epoch)
	s.Announce(heartbeat("s1", uint64(epoch.Add(-time.Minute).UnixMilli()), 9, instance.StateServing), epoch)
	require.Equal(t, instance.StateGone, stateOf(s, "s1"))
	s.Announce(heartbeat("s1", uint64(epoch.Add(time.Second).UnixMilli()), 1, instance.StateServing), epoch)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
}

// A server stops without a word. A replica that is cut off hears of no server and
// must not call all of them silent.
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

// Records reach two processes in different orders, some twice. Both must end with
// the same picture, or they would send requests to different servers for good.
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

func TestHeartbeatAloneIsNoChange(t *testing.T) {
	s := newStore()
	s.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	seen := s.Since(0, false, epoch).Seq
	hasChanged, changed := s.ChangedSince(seen)
	require.False(t, hasChanged)
	s.Announce(heartbeat("s1", 1, 2, instance.StateServing), epoch)
	hasChanged, _ = s.ChangedSince(seen)
	require.False(t, hasChanged, "a heartbeat without news wakes nobody")
	require.Empty(t, s.Since(seen, false, epoch).Servers)
	require.Len(t, s.Since(seen, true, epoch).Servers, 1, "but replicas take it along")
	s.Announce(heartbeat("s1", 1, 3, instance.StateLeaving), epoch)
	<-changed
	hasChanged, _ = s.ChangedSince(seen)
	require.True(t, hasChanged)
}

func TestOnlyServingEntriesAreLive(t *testing.T) {
	s := newStore()
	s.MergeEntry(Entry{Name: "e1", Incarnation: 1, State: instance.StateServing}, epoch)
	s.MergeEntry(Entry{Name: "e2", Incarnation: 1, State: instance.StateServing}, epoch.Add(-3*time.Second))
	require.Len(t, s.LiveEntries(epoch), 1)
	s.MergeEntry(Entry{Name: "e1", Incarnation: 1, Sequence: 1, State: instance.StateLeaving}, epoch)
	s.MergeEntry(Entry{Name: "e1", Incarnation: 1, State: instance.StateServing}, epoch)
	require.Empty(t, s.LiveEntries(epoch), "an entry that leaves is named no more")
}

// An entry is told of a server when it starts, and then of nothing for minutes: each
// heartbeat that has no news would cost every entry a message. The server goes on
// serving, and the entry must still know it when the next change of it comes.
//
// It breaks if Sweep drops records by their age alone.
func TestUnchangedServerIsNotDropped(t *testing.T) {
	s := NewStore(Config{ForgetAfter: time.Minute})
	s.Merge(Origin{Replica: "a"}, []Server{{Announcement: heartbeat("s1", 1, 1, instance.StateServing)}, {Announcement: heartbeat("s2", 1, 1, instance.StateLeaving)}}, nil, epoch)
	s.Sweep(epoch.Add(2*time.Minute), false)
	require.Equal(t, instance.StateServing, stateOf(s, "s1"))
	require.Equal(t, instance.StateGone, stateOf(s, "s2"), "one that was leaving is gone")
}
