package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	s.observeRevision("b", 7, true, startTime)
	s.observeRevision("a", 7, false, startTime.Add(maxSourceDelay/2))
	s.observeRevision("c", 7, false, startTime.Add(2*maxSourceDelay))
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
	s.observeRevision("b", 8, true, startTime)
	s.observeRevision("a", 7, false, startTime.Add(maxSourceDelay/2))
	s.observeRevision("c", 8, true, startTime.Add(maxSourceDelay-time.Millisecond))
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"), "the revision may be in transit")
	s.observeRevision("a", 7, false, startTime.Add(maxSourceDelay))
	s.observeRevision("b", 8, true, startTime.Add(maxSourceDelay+time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"))
	s.observeRevision("c", 8, true, startTime.Add(maxSourceDelay+2*time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"), "a new source has the full delay")
}
