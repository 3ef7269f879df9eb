package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// senders returns which of the replicas would be asked for the catalogue now.
func (s *catalogueSource) senders(addrs ...string) []string {
	var out []string
	for _, addr := range addrs {
		if send, _ := s.shouldSend(addr); send {
			out = append(out, addr)
		}
	}
	return out
}

var startTime = time.Unix(1_700_000_000, 0)

// An entry follows three replicas. If each sent it every catalogue, its link would be
// taken for seconds by a few changes in a row.
func TestOneReplicaSendsTheCatalogue(t *testing.T) {
	var s catalogueSource
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"))
	s.observeRevision("b", 7, true, startTime)
	s.observeRevision("a", 7, false, startTime.Add(maxSourceDelay/2))
	s.observeRevision("c", 7, false, startTime.Add(2*maxSourceDelay))
	require.Equal(t, []string{"a"}, s.senders("c", "b", "a"), "it has sent it in time")
	_, highestRevision := s.shouldSend("b")
	require.EqualValues(t, 7, highestRevision)
}

// The replica that sends the catalogue is lost. Changes must be in force all the same.
func TestUnreachableSourceIsReplaced(t *testing.T) {
	var s catalogueSource
	s.senders("a", "b")
	s.markUnreachable("b")
	require.Equal(t, []string{"a"}, s.senders("b", "a"))
	s.markUnreachable("a")
	require.Equal(t, []string{"b"}, s.senders("b", "a"))
}

// The replica that sends the catalogue is cut off from the others: it answers, and has
// no new one. Another one tells of it.
//
// It breaks if the choice is kept for as long as the replica answers.
func TestOutdatedSourceIsReplaced(t *testing.T) {
	var s catalogueSource
	s.senders("a", "b", "c")
	s.observeRevision("b", 8, true, startTime)
	s.observeRevision("a", 7, false, startTime.Add(maxSourceDelay/2))
	s.observeRevision("c", 8, true, startTime.Add(maxSourceDelay-time.Millisecond))
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"), "it may be on its way")
	s.observeRevision("a", 7, false, startTime.Add(maxSourceDelay))
	s.observeRevision("b", 8, true, startTime.Add(maxSourceDelay+time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"))
	s.observeRevision("c", 8, true, startTime.Add(maxSourceDelay+2*time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"), "it has as much time")
}
