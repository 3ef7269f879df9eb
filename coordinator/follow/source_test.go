package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
)

// senders returns which of the replicas would send the catalogue if they were called in this
// order.
func (s *recordSource) senders(addrs ...string) []string {
	var out []string
	for _, addr := range addrs {
		if send, _ := s.shouldSend(addr, startTime); send {
			out = append(out, addr)
		}
	}
	return out
}

var startTime = time.Unix(1_700_000_000, 0)

// Guards against every replica sending every catalogue, which would occupy an entry's slow
// link for seconds after a few changes in a row.
func TestOneReplicaSendsTheCatalogue(t *testing.T) {
	var s recordSource
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"))
	s.observeRevision("b", 7, startTime)
	s.observeRevision("a", 7, startTime.Add(maxSourceDelay/2))
	s.observeRevision("c", 7, startTime.Add(2*maxSourceDelay))
	require.Equal(t, []string{"a"}, s.senders("c", "b", "a"), "the source has sent the revision in time")
	_, highestRevision := s.shouldSend("b", startTime)
	require.EqualValues(t, 7, highestRevision)
}

// Guards against an entry that receives no catalogue after its source becomes unreachable.
func TestUnreachableSourceIsReplaced(t *testing.T) {
	var s recordSource
	s.senders("a", "b")
	s.markUnreachable("b", startTime)
	require.Equal(t, []string{"a"}, s.senders("b", "a"))
	s.markUnreachable("a", startTime)
	require.Equal(t, []string{"b"}, s.senders("b", "a"))
}

// Guards against keeping a source that replies but is partitioned from the other replicas:
// the entry would not receive revisions that the others have.
func TestOutdatedSourceIsReplaced(t *testing.T) {
	var s recordSource
	s.senders("a", "b", "c")
	s.observeRevision("b", 8, startTime)
	s.observeRevision("a", 7, startTime.Add(maxSourceDelay/2))
	s.observeRevision("c", 8, startTime.Add(maxSourceDelay-time.Millisecond))
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"), "the revision may be in transit")
	s.observeRevision("a", 7, startTime.Add(maxSourceDelay))
	s.observeRevision("b", 8, startTime.Add(maxSourceDelay+time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"))
	s.observeRevision("c", 8, startTime.Add(maxSourceDelay+2*time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"), "a new source has the full delay")
}

// replicasByZone returns a source of a process in zone z1 that knows the zones of the
// replicas a1, b1 (in z1) and c2 (in z2).
func replicasByZone() *recordSource {
	s := &recordSource{zone: "z1", vacantSince: startTime}
	s.observeZone("a1", "z1")
	s.observeZone("b1", "z1")
	s.observeZone("c2", "z2")
	return s
}

// Guards against records and catalogues that every entry reads from another zone, though its
// own has a replica.
func TestSourceInOwnZoneIsPreferred(t *testing.T) {
	s := replicasByZone()
	send, _ := s.shouldSend("c2", startTime)
	require.False(t, send, "a replica in the own zone may still answer")
	send, _ = s.shouldSend("b1", startTime.Add(localSourceWait/2))
	require.True(t, send)

	s.markUnreachable("b1", startTime)
	send, _ = s.shouldSend("c2", startTime.Add(localSourceWait))
	require.True(t, send, "no replica in the own zone answers")
	send, _ = s.shouldSend("a1", startTime.Add(2*localSourceWait))
	require.True(t, send, "one answers again")
}

// Guards against returning to a replica in the own zone that lacks the newest revision: the
// entry would switch back and forth and get a complete list each time.
func TestOutdatedReplicaInOwnZoneIsNotPreferred(t *testing.T) {
	s := replicasByZone()
	s.observeRevision("c2", 8, startTime)
	s.observeRevision("a1", 7, startTime)
	send, _ := s.shouldSend("c2", startTime.Add(localSourceWait))
	require.True(t, send)
	send, _ = s.shouldSend("a1", startTime.Add(localSourceWait))
	require.False(t, send)
	s.observeRevision("a1", 8, startTime)
	send, _ = s.shouldSend("a1", startTime.Add(localSourceWait))
	require.True(t, send)
}

// Guards against a first source that sends only what changed since its last statuses: records
// would be missing. And against a second one that sends all records again: when a replica is
// late, hundreds of entries would request thousands of records each, which makes the others
// late too.
func TestOnlyTheFirstSourceSendsAllRecords(t *testing.T) {
	var seen seenChanges
	next := func(detail api.Detail, haveRecords bool) uint64 {
		seq, _ := seen.next(detail, haveRecords)
		return seq
	}
	seen.record(api.DetailNone, 0)
	require.Zero(t, next(api.DetailStatuses, true))
	seen.record(api.DetailStatuses, 120)
	require.EqualValues(t, 120, next(api.DetailStatuses, true))
	require.Zero(t, next(api.DetailRecords, false))
	seq, allEntries := seen.next(api.DetailRecords, true)
	require.EqualValues(t, 120, seq)
	require.True(t, allEntries, "statuses say nothing about entries")
	seen.record(api.DetailRecords, 130)
	seq, allEntries = seen.next(api.DetailRecords, true)
	require.EqualValues(t, 130, seq)
	require.False(t, allEntries)
}
