package coordinator

import (
	"log/slog"
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

// Guards against a replica that vouches for versions though its disk was lost, also after it has restarted
// with what it held since.
func TestVersionsOutlastARestart(t *testing.T) {
	dir := t.TempDir()
	c := restartReplica(dir, savedAt)
	sv := origin.ServiceVersion{Service: "web", Version: "v1"}
	_, err := c.versions.holdForPeer(t.Context(), link.PeerInfo{}, api.HoldVersionsRequest{Versions: []origin.ServiceVersion{sv}})
	require.NoError(t, err)
	c = restartReplica(dir, savedAt.Add(time.Second))
	versions, complete := c.versions.of("web")
	require.Equal(t, []string{"v1"}, versions)
	require.False(t, complete, "what it was asked to hold before may be missing")
	at := savedAt.Add(origin.Retention + time.Second)
	c.now = func() time.Time { return at }
	c.versions.now = c.now
	require.NoError(t, c.saveVersions())
	_, complete = restartReplica(dir, at).versions.of("web")
	require.True(t, complete)
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
