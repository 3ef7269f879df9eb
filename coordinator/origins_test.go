package coordinator

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/replica/storage"
)

func originRecord(key origin.Key, left time.Duration) origin.Record {
	return origin.Record{Key: key, Left: left, Origin: origin.Origin{Service: "web", Version: "v1", Server: "s1", Incarnation: 7}}
}

// Guards against streams that nobody can take up once all processes were killed or lost power: their origins
// must outlast it, but for those in a write that was cut off, and for those whose callers are gone.
func TestOriginsOutlastARestart(t *testing.T) {
	dir := t.TempDir()
	write := originLog{fs: storage.OS{}, dir: dir}
	require.NoError(t, write.write([]origin.Record{originRecord(1, 10*time.Second), originRecord(2, time.Second)}, savedAt))
	require.NoError(t, write.write([]origin.Record{originRecord(3, 10*time.Second)}, savedAt))
	name := write.name(write.number)
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, content[:len(content)-1], 0o600))
	c := restartReplica(dir, savedAt.Add(2*time.Second))
	_, known := c.origins.get(1)
	require.True(t, known)
	for _, lost := range []origin.Key{2, 3} {
		_, known = c.origins.get(lost)
		require.False(t, known, "%d", lost)
	}
}

// Guards against files that are truncated while their records are still needed, and against files that grow
// without bound.
func TestOriginFilesAreWrittenInTurn(t *testing.T) {
	write := originLog{fs: storage.OS{}, dir: t.TempDir()}
	at := savedAt
	for key := range origin.Key(300) {
		require.NoError(t, write.write([]origin.Record{originRecord(key, origin.Retention)}, at))
		records, err := (&originLog{fs: storage.OS{}, dir: write.dir}).load(at)
		require.NoError(t, err)
		require.Len(t, records, min(int(key)+1, int(origin.Retention/time.Second)))
		at = at.Add(time.Second)
	}
	files, err := filepath.Glob(filepath.Join(write.dir, "*"))
	require.NoError(t, err)
	require.Len(t, files, originFileCount)
}

// announce has a server announce itself at a replica until it is recorded.
func announce(t *testing.T, r *testReplica, id, version string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return r.Announce(t.Context(), instance.Announcement{
			ID: id, Incarnation: 1, Sequence: 1, Address: "10.0.0.1:" + id, Services: []string{"web"}, Version: version, State: instance.StateServing,
		}) == nil
	}, testWait, 20*time.Millisecond)
}

// decide asks all replicas what began a stream of which there is no record.
func (c *cluster) decide() (origin.Origin, origin.Knowledge) {
	var replies []origin.Reply
	for _, r := range c.replicas {
		reply, err := r.findOrigin(c.t.Context(), link.PeerInfo{}, api.FindOriginRequest{Key: 1, Service: "web"})
		require.NoError(c.t, err)
		replies = append(replies, reply)
	}
	return origin.Decide("web", replies, true)
}

// Guards against streams that nobody can take up, and against those of a version whose servers are gone that go
// on at another one, since a majority of the replicas has been replaced by others without a disk.
func TestVersionsOutlastReplicasThatAreReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(5)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	c.waitForVoters()
	announce(t, c.replicas[address(0)], "1", "v1")
	replaced := 0
	replaceThree := func() {
		for range 3 {
			c.kill(address(replaced))
			c.seeds = []string{net.JoinHostPort(address(replaced+3), "1"), net.JoinHostPort(address(replaced+4), "1")}
			c.start(address(5+replaced), false)
			replaced++
			c.waitForVoters()
		}
	}
	replaceThree()
	begun := time.Now()
	require.Eventually(t, func() bool {
		began, knowledge := c.decide()
		return knowledge == origin.Known && began.Version == "v1"
	}, testWait, 20*time.Millisecond)
	require.Less(t, time.Since(begun), origin.Retention/4)

	announce(t, c.replicas[address(replaced)], "2", "v2")
	require.NoError(t, c.replicas[address(replaced)].Leave(t.Context(), "2", 1))
	replaceThree()
	for range 20 {
		_, knowledge := c.decide()
		require.NotEqual(t, origin.Known, knowledge, "servers of v2 may have begun it")
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a replica that takes what it read from its data folder for the last start of a server, which
// may have started again, with another version, while the replica was down.
func TestServerStartIsNotToldBeforeAHeartbeat(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(time.Second))
	c.startedAt = c.now()
	req := api.ServerStartRequest{Server: "1"}
	_, err := c.serverStart(t.Context(), link.PeerInfo{}, req)
	require.ErrorIs(t, err, errNotHeard)
	c.log = slog.New(slog.DiscardHandler)
	rec := server("1", instance.StateServing)
	rec.Incarnation = 2
	c.directory.Announce(rec.Announcement, c.now())
	reply, err := c.serverStart(t.Context(), link.PeerInfo{}, req)
	require.NoError(t, err)
	require.EqualValues(t, 2, reply.Incarnation)
}
