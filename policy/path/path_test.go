package path

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a check for each server that crashes while others are reached, and against a crash
// that is taken for granted because of a connection that was opened before it, or that is reset.
func TestFailedDialNeedsACheckWithoutNewerEvidence(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.DialFailed(epoch, false), "nothing was ever reached")
	tr.Dialled(epoch)
	require.False(t, tr.DialFailed(epoch.Add(dialEvidenceTTL/2), false))
	require.True(t, tr.DialFailed(epoch.Add(dialEvidenceTTL/2), true))
	require.True(t, tr.DialFailed(epoch.Add(2*dialEvidenceTTL), false))
	tr.Dialled(epoch.Add(3 * dialEvidenceTTL))
	require.True(t, tr.DialFailed(epoch.Add(2*dialEvidenceTTL), true), "it may be reset")
	tr.Heard(false, epoch.Add(3*dialEvidenceTTL))
	require.True(t, tr.DialFailed(epoch.Add(2*dialEvidenceTTL), true), "new connections may fail")
	tr.Heard(true, epoch.Add(3*dialEvidenceTTL))
	require.False(t, tr.DialFailed(epoch.Add(2*dialEvidenceTTL), true))
}

// Guards against requests that wait while one entry after the other of a zone that is cut off is asked.
func TestZoneLast(t *testing.T) {
	peers := []Peer{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}, {Name: "c", Zone: "z1"}, {Name: "d", Zone: "z3"}}
	require.Equal(t, []Peer{peers[1], peers[3], peers[0], peers[2]}, ZoneLast(peers, "z1"))
}

// Guards against an entry that takes a server which crashes under many requests for its own path, and
// against one that misses that only new connections fail.
func TestConnectionsThatBreakOff(t *testing.T) {
	tr, now := NewTracker(), epoch
	require.False(t, tr.BrokeOff("a", false, now))
	require.False(t, tr.BrokeOff("a", false, now), "the same server")
	tr.Heard(false, now)
	require.False(t, tr.BrokeOff("b", false, now), "a server was heard in between")
	require.True(t, tr.BrokeOff("c", false, now))
	now = now.Add(answerCheckInterval)
	require.False(t, tr.BrokeOff("d", true, now))
	tr.Heard(false, now) // on an open connection
	require.True(t, tr.BrokeOff("e", true, now))
	require.False(t, tr.BrokeOff("f", true, now))
	require.False(t, tr.BrokeOff("g", true, now), "servers were asked a moment ago")
	now = now.Add(answerCheckInterval)
	tr.Heard(true, now)
	require.False(t, tr.BrokeOff("h", true, now))
}

// Guards against an entry that gives its path up for one silent server, or that asks servers for signs
// all the time while they are slow.
func TestSilenceNeedsACheckOnlyIfNobodyIsHeard(t *testing.T) {
	tr := NewTracker()
	sent := epoch
	now := sent.Add(SilenceLimit)
	tr.Heard(false, sent.Add(time.Millisecond))
	require.False(t, tr.Silent(sent, now), "another server was heard")
	sent = now.Add(time.Millisecond)
	now = sent.Add(SilenceLimit)
	require.True(t, tr.Silent(sent, now))
	require.False(t, tr.Silent(sent, now.Add(answerCheckInterval/2)))
	require.True(t, tr.Silent(sent, now.Add(answerCheckInterval)))
}

// Guards against a path that is given up without evidence, or that counts as restored by the last
// server which a partition has not cut off yet.
func TestPathIsLostAndRestored(t *testing.T) {
	tr := NewTracker()
	require.False(t, tr.Conclude(Unknown))
	require.False(t, tr.Conclude(Sound))
	require.False(t, tr.Lost())
	require.False(t, tr.Probed(true), "it is not lost")
	require.True(t, tr.Conclude(Lost))
	require.False(t, tr.Conclude(Lost), "it is known already")
	require.False(t, tr.Silent(epoch, epoch.Add(time.Hour)))
	require.False(t, tr.Probed(true))
	require.False(t, tr.Probed(false))
	require.False(t, tr.Probed(true))
	require.True(t, tr.Lost())
	require.True(t, tr.Probed(true))
	require.False(t, tr.Lost())
}

// Guards against bytes that cross zones twice without need, and against peers that fail being asked
// first again and again.
func TestPeersInTheServersZoneComeFirst(t *testing.T) {
	peers := []Peer{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}, {Name: "c", Zone: "z2"}, {Name: "d", Zone: "z3"}}
	var names []string
	for _, p := range Order(peers, "z2", func(p Peer) bool { return p.Name == "b" || p.Name == "a" }) {
		names = append(names, p.Name)
	}
	require.Equal(t, []string{"c", "d", "b", "a"}, names)
}
