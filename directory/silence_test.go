package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

// relay is a replica with what an entry has been told by it.
type relay struct {
	*Store
	origin Origin
	seen   uint64
}

func newRelay(name string) *relay {
	return &relay{Store: newStore(), origin: Origin{Replica: name, Incarnation: 1}}
}

// tell passes on what is new.
func (r *relay) tell(entry *Store, now time.Time) {
	changes := r.Since(r.seen, false, now)
	r.seen = changes.Seq
	entry.Merge(r.origin, changes.Servers, changes.Entries, now)
}

// cutSite is two replicas that no longer reach each other, and an entry that reaches
// both. One server reported at the first one, and both know of it.
func cutSite() (hears, others *relay, entry *Store) {
	hears, others, entry = newRelay("a"), newRelay("b"), NewStore(Config{ForgetAfter: time.Minute})
	hears.Announce(beat("s1", 1, 1, instance.StateServing), epoch)
	others.Merge(hears.origin, hears.Since(0, true, epoch).Servers, nil, epoch)
	hears.tell(entry, epoch)
	others.tell(entry, epoch)
	return hears, others, entry
}

func silent(s *Store) bool { return s.Servers(epoch)[0].Unreachable }

// Replicas are cut off from each other for some seconds, and a server goes on
// reporting at one of the few. The many hear nothing of it and call it silent. Callers
// would be refused for want of servers while it stands idle.
//
// It breaks if the word of any replica is enough.
func TestServerThatOneReplicaHears(t *testing.T) {
	hears, others, entry := cutSite()
	for second := 1; second <= 10; second++ {
		now := epoch.Add(time.Duration(second) * time.Second)
		hears.Announce(beat("s1", 1, uint64(second)+1, instance.StateServing), now)
		hears.Sweep(now, false)
		others.Sweep(now, true)
		hears.tell(entry, now)
		others.tell(entry, now)
		require.False(t, silent(entry), "after %d s", second)
	}
	require.True(t, silent(others.Store))

	// The server dies. The replica that heard it says so, though it is cut off itself
	// and cannot tell what that means.
	now := epoch.Add(20 * time.Second)
	hears.Sweep(now, false)
	hears.tell(entry, now)
	require.True(t, silent(entry))

	// It is heard again.
	hears.Announce(beat("s1", 1, 20, instance.StateServing), now)
	hears.tell(entry, now)
	require.False(t, silent(entry))
}

// A replica that hears of no server may be cut off from all of them. An entry that
// reaches no other one goes on with the servers that it knows.
//
// It breaks if being unheard is enough.
func TestReplicaThatHearsNothing(t *testing.T) {
	alone, others, entry := cutSite()
	entry.MarkUnreachable(others.origin.Replica)
	now := epoch.Add(time.Minute)
	alone.Sweep(now, false)
	alone.tell(entry, now)
	require.False(t, silent(entry))
}

// The replica that heard a server last dies, and the server with it, as when their
// zone is lost. What the replica said must not keep the server in use.
//
// It breaks if the words of a replica that is lost count on, or those of an earlier
// start of one that is back.
func TestWordsOfALostReplica(t *testing.T) {
	hears, others, entry := cutSite()
	now := epoch.Add(10 * time.Second)
	others.Sweep(now, true)
	others.tell(entry, now)
	require.False(t, silent(entry))
	require.True(t, entry.MarkUnreachable("a"))
	require.True(t, silent(entry))

	hears.tell(entry, now) // it was only slow to answer
	require.False(t, silent(entry))

	entry.Merge(Origin{Replica: "a", Incarnation: 2}, nil, nil, now)
	require.True(t, silent(entry), "it has started anew and knows of no server")
}
