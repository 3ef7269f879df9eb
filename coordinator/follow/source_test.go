package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// senders returns which of the replicas would be asked for the catalogue now.
func (s *source) senders(addrs ...string) []string {
	var out []string
	for _, addr := range addrs {
		if send, _ := s.asks(addr); send {
			out = append(out, addr)
		}
	}
	return out
}

var start = time.Unix(1_700_000_000, 0)

// An entry follows three replicas. If each sent it every catalogue, its link would be
// taken for seconds by a few changes in a row.
func TestOneReplicaSendsTheCatalogue(t *testing.T) {
	var s source
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"))
	s.note("b", 7, true, start)
	s.note("a", 7, false, start.Add(patience/2))
	s.note("c", 7, false, start.Add(2*patience))
	require.Equal(t, []string{"a"}, s.senders("c", "b", "a"), "it has sent it in time")
	_, told := s.asks("b")
	require.EqualValues(t, 7, told)
}

// The replica that sends the catalogue is lost. Changes must be in force all the same.
func TestSourceIsLost(t *testing.T) {
	var s source
	s.senders("a", "b")
	s.lost("b")
	require.Equal(t, []string{"a"}, s.senders("b", "a"))
	s.lost("a")
	require.Equal(t, []string{"b"}, s.senders("b", "a"))
}

// The replica that sends the catalogue is cut off from the others: it answers, and has
// no new one. Another one tells of it.
//
// It breaks if the choice is kept for as long as the replica answers.
func TestSourceIsBehind(t *testing.T) {
	var s source
	s.senders("a", "b", "c")
	s.note("b", 8, true, start)
	s.note("a", 7, false, start.Add(patience/2))
	s.note("c", 8, true, start.Add(patience-time.Millisecond))
	require.Equal(t, []string{"a"}, s.senders("a", "b", "c"), "it may be on its way")
	s.note("a", 7, false, start.Add(patience))
	s.note("b", 8, true, start.Add(patience+time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"))
	s.note("c", 8, true, start.Add(patience+2*time.Millisecond))
	require.Equal(t, []string{"b"}, s.senders("a", "b", "c"), "it has as much time")
}
