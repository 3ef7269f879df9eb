package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
)

// sendStatuses merges the statuses of the changes since the last call into an entry's store.
func (r *testReplica) sendStatuses(entry *Store, now time.Time) {
	var statuses Statuses
	statuses, r.seen = r.StatusesSince(r.seen)
	entry.MergeStatuses(r.origin, statuses, now)
}

// siteWithSource returns two replicas that both have the record of server s1, and an entry
// that receives records from the first and statuses from the second.
func siteWithSource() (source, other *testReplica, entry *Store) {
	source, other, entry = newTestReplica("a"), newTestReplica("b"), NewStore(Config{ForgetAfter: time.Minute})
	other.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	source.Merge(other.origin, other.Since(0, epoch).Servers, nil, epoch)
	source.sendChanges(entry, epoch)
	other.sendStatuses(entry, epoch)
	return source, other, entry
}

// Guards against an entry that notices a leaving server only through the replica that sends
// it records: while that replica is cut off from the others, requests would still be sent to a
// server whose leave was acknowledged.
func TestLeaveIsNoticedFromAnyReplica(t *testing.T) {
	_, other, entry := siteWithSource()
	other.Announce(heartbeat("s1", 1, 2, instance.StateLeaving), epoch)
	other.sendStatuses(entry, epoch)
	require.Equal(t, instance.StateLeaving, stateOf(entry, "s1"))
}

// Guards against a leave that is lost because its status arrives before the record of the
// server: the record, from a replica that has not received the leave, would put the server in
// use.
func TestLeaveBeforeRecordIsKept(t *testing.T) {
	source, other, entry := siteWithSource()
	other.Announce(heartbeat("s2", 1, 1, instance.StateServing), epoch)
	source.Merge(other.origin, other.Since(0, epoch).Servers, nil, epoch)
	other.Announce(heartbeat("s2", 1, 2, instance.StateLeaving), epoch)
	other.sendStatuses(entry, epoch)
	source.sendChanges(entry, epoch)
	require.Equal(t, instance.StateLeaving, stateOf(entry, "s2"))
}

// Guards against a server that only a replica cut off from the others knows: the entry would
// never use it, since the replica that sends records does not have it.
func TestRecordsUnknownToSourceAreRequested(t *testing.T) {
	_, other, entry := siteWithSource()
	other.Announce(heartbeat("s2", 1, 1, instance.StateServing), epoch)
	other.sendStatuses(entry, epoch)
	require.Empty(t, entry.Missing("b", epoch), "the source may be about to send the record")
	later := epoch.Add(missingGrace)
	keys := entry.Missing("b", later)
	require.Equal(t, []Key{keyOf("s2", 1)}, keys)
	entry.Merge(other.origin, other.Records(keys, later), nil, later)
	require.Equal(t, instance.StateServing, stateOf(entry, "s2"))
	require.Empty(t, entry.Missing("b", later))
}

// Guards against requesting for ever the record of a server that the replica has dropped.
func TestMissingRecordsExpire(t *testing.T) {
	_, other, entry := siteWithSource()
	other.Announce(heartbeat("s2", 1, 1, instance.StateServing), epoch)
	other.sendStatuses(entry, epoch)
	require.Empty(t, entry.Missing("b", epoch.Add(pendingTTL+time.Second)))
	require.Empty(t, entry.Missing("b", epoch))
}

// Guards against trusting any single report of unreachability when reports are statuses: a
// healthy server that reports at a replica of the minority would get no requests.
func TestStatusesKeepServerAtMinorityReplicaReachable(t *testing.T) {
	source, other, entry := siteWithSource()
	for second := 1; second <= 10; second++ {
		now := epoch.Add(time.Duration(second) * time.Second)
		other.Announce(heartbeat("s1", 1, uint64(second)+1, instance.StateServing), now)
		other.Sweep(now, false)
		source.Sweep(now, true)
		source.sendChanges(entry, now)
		other.sendStatuses(entry, now)
		require.False(t, isUnreachable(entry), "after %d s", second)
	}
	require.True(t, isUnreachable(source.Store))

	now := epoch.Add(20 * time.Second) // the server ends
	other.Sweep(now, false)
	other.sendStatuses(entry, now)
	require.True(t, isUnreachable(entry))

	other.Announce(heartbeat("s1", 1, 20, instance.StateServing), now) // its heartbeats resume
	other.sendStatuses(entry, now)
	require.False(t, isUnreachable(entry))
}

// Guards against a replica that forwards what it was forwarded: with six replicas each
// heartbeat would travel thirty times.
func TestHeartbeatsAreForwardedOnce(t *testing.T) {
	a, b := newTestReplica("a"), newTestReplica("b")
	a.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	b.Merge(a.origin, a.Since(0, epoch).Servers, nil, epoch)
	seenOfA, seenOfB := a.lastSeq, b.lastSeq

	now := epoch.Add(time.Second)
	a.Announce(heartbeat("s1", 1, 2, instance.StateServing), now)
	servers, _ := a.HeartbeatsSince(seenOfA, nil, now)
	b.MergeHeartbeats(a.origin, servers, nil, now)
	require.Zero(t, b.Servers(now)[0].HeartbeatAge)
	require.EqualValues(t, 2, b.Servers(now)[0].Sequence)

	forwarded, _ := b.HeartbeatsSince(seenOfB, nil, now)
	require.Empty(t, forwarded)
	forwarded, _ = b.HeartbeatsSince(seenOfB, []string{"a"}, now)
	require.Len(t, forwarded, 1, "a replica that does not reach the first gets it from the second")
}

// A replica is late, so that heartbeats of thousands of servers become overdue and arrive again.
// Guards against sending their records to dozens of entries each time, which makes the replica
// later still.
func TestReachabilityAloneIsSentAsStatus(t *testing.T) {
	s := newTestReplica("a")
	s.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	first, err := s.EntryChangesSince(0, epoch)
	require.NoError(t, err)
	records, err := first.Servers.Unpack()
	require.NoError(t, err)
	require.Len(t, records, 1)
	require.Zero(t, first.Statuses.Len())

	now := epoch.Add(10 * time.Second)
	s.Sweep(now, true)
	overdue, err := s.EntryChangesSince(first.Seq, now)
	require.NoError(t, err)
	require.Empty(t, overdue.Servers)
	require.Equal(t, []Status{{Key: keyOf("s1", 1), State: instance.StateServing, Overdue: true, Unreachable: true}}, slices.Collect(overdue.Statuses.All()))

	s.Announce(heartbeat("s1", 1, 2, instance.StateServing), now)
	heard, err := s.EntryChangesSince(overdue.Seq, now)
	require.NoError(t, err)
	require.Empty(t, heard.Servers)
	require.Equal(t, 1, heard.Statuses.Len())

	s.Announce(heartbeat("s1", 1, 3, instance.StateLeaving), now)
	left, err := s.EntryChangesSince(heard.Seq, now)
	require.NoError(t, err)
	records, err = left.Servers.Unpack()
	require.NoError(t, err)
	require.Equal(t, instance.StateLeaving, records[0].State)
	require.False(t, records[0].Overdue)
}

// Guards against a truncated list that is taken for a shorter one.
func TestTruncatedRecordsAreRefused(t *testing.T) {
	s := newTestReplica("a")
	s.Announce(heartbeat("s1", 1, 1, instance.StateServing), epoch)
	changes, err := s.EntryChangesSince(0, epoch)
	require.NoError(t, err)
	_, err = changes.Servers[:len(changes.Servers)-3].Unpack()
	require.Error(t, err)
}
