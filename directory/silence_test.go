package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

// relay is a replica with what an entry has been told by it.
type testReplica struct {
	*Store
	origin Origin
	seen   uint64
}

func newTestReplica(name string) *testReplica {
	return &testReplica{Store: newStore(), origin: Origin{Replica: name, Incarnation: 1}}
}

// tell passes on what is new.
func (r *testReplica) sendChanges(entry *Store, now time.Time) {
	changes := r.Since(r.seen, false, now)
	r.seen = changes.Seq
	entry.Merge(r.origin, changes.Servers, changes.Entries, now)
}

// cutSite is two replicas that no longer reach each other, and an entry that reaches
// both. One server reported at the first one, and both know of it.
func partitionedSite() (receiving, others *testReplica, entry *Store) {
	receiving, others, entry = newTestReplica("a"), newTestReplica("b"), NewStore(Config{ForgetAfter: time.Minute})
	receiving.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	others.Merge(receiving.origin, receiving.Since(0, true, epoch).Servers, nil, epoch)
	receiving.sendChanges(entry, epoch)
	others.sendChanges(entry, epoch)
	return receiving, others, entry
}

func isUnreachable(s *Store) bool { return s.Servers(epoch)[0].Unreachable }

// Replicas are cut off from each other for some seconds, and a server goes on
// reporting at one of the few. The many hear nothing of it and call it silent. Callers
// would be refused for want of servers while it stands idle.
//
// It breaks if the word of any replica is enough.
func TestServerReportingAtMinorityReplicaStaysReachable(t *testing.T) {
	receiving, others, entry := partitionedSite()
	for second := 1; second <= 10; second++ {
		now := epoch.Add(time.Duration(second) * time.Second)
		receiving.Announce(heartbeat("s1", 1, uint64(second)+1, instance.StateServing), now)
		receiving.Sweep(now, false)
		others.Sweep(now, true)
		receiving.sendChanges(entry, now)
		others.sendChanges(entry, now)
		require.False(t, isUnreachable(entry), "after %d s", second)
	}
	require.True(t, isUnreachable(others.Store))

	// The server dies. The replica that heard it says so, though it is cut off itself
	// and cannot tell what that means.
	now := epoch.Add(20 * time.Second)
	receiving.Sweep(now, false)
	receiving.sendChanges(entry, now)
	require.True(t, isUnreachable(entry))

	// It is heard again.
	receiving.Announce(heartbeat("s1", 1, 20, instance.StateServing), now)
	receiving.sendChanges(entry, now)
	require.False(t, isUnreachable(entry))
}

// A replica that hears of no server may be cut off from all of them. An entry that
// reaches no other one goes on with the servers that it knows.
//
// It breaks if being unheard is enough.
func TestIsolatedReplicaDoesNotMarkServersUnreachable(t *testing.T) {
	isolated, others, entry := partitionedSite()
	entry.MarkUnreachable(others.origin.Replica)
	now := epoch.Add(time.Minute)
	isolated.Sweep(now, false)
	isolated.sendChanges(entry, now)
	require.False(t, isUnreachable(entry))
}

// The replica that heard a server last dies, and the server with it, as when their
// zone is lost. What the replica said must not keep the server in use.
//
// It breaks if the words of a replica that is lost count on, or those of an earlier
// start of one that is back.
func TestReportsOfUnreachableReplicaAreIgnored(t *testing.T) {
	receiving, others, entry := partitionedSite()
	now := epoch.Add(10 * time.Second)
	others.Sweep(now, true)
	others.sendChanges(entry, now)
	require.False(t, isUnreachable(entry))
	require.True(t, entry.MarkUnreachable("a"))
	require.True(t, isUnreachable(entry))

	receiving.sendChanges(entry, now) // it was only slow to answer
	require.False(t, isUnreachable(entry))

	entry.Merge(Origin{Replica: "a", Incarnation: 2}, nil, nil, now)
	require.True(t, isUnreachable(entry), "it has started anew and knows of no server")
}
