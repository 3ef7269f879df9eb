package coordinator

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/replica/storage"
)

// restartReplica returns a replica that started at a time with the cache in dir.
func restartReplica(dir string, at time.Time) *Coordinator {
	c := &Coordinator{
		log: slog.New(slog.DiscardHandler), now: func() time.Time { return at }, cache: &serverCache{fs: storage.OS{}, dir: dir}, shares: newShareRegistry(at, false),
		directory: directory.NewStore(directory.Config{OverdueAfter: 4 * time.Second, EntryExpiry: entryExpiry, ForgetAfter: time.Minute}),
	}
	c.restoreCache(context.Background())
	return c
}

func server(id string, state instance.State) directory.Server {
	return directory.Server{Announcement: instance.Announcement{
		ID: id, Incarnation: 1, Sequence: 7, State: state, Address: "10.0.0.1:" + id, Services: []string{"chat"},
	}}
}

func ids(servers []directory.Server) []string {
	out := []string{}
	for i := range servers {
		out = append(out, servers[i].ID)
	}
	return out
}

func knownServers(c *Coordinator) []directory.Server { return c.directory.Servers(c.now()) }

var savedAt = time.Unix(1_700_000_000, 0)

func saveServers(t *testing.T, servers ...directory.Server) (*serverCache, string) {
	m := &serverCache{fs: storage.OS{}, dir: t.TempDir()}
	require.NoError(t, m.save(cachedState{At: savedAt, Servers: servers}))
	return m, m.dir
}

// All control replicas restart. Guards against entries that know only the few servers
// whose heartbeat has been received since, and overload them.
func TestServersAreRestoredAfterRestart(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing), server("2", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(1500*time.Millisecond))
	require.Equal(t, []string{"1", "2"}, ids(knownServers(c)))
	require.Equal(t, []string{"1", "2"}, ids(c.directory.Since(0, c.now()).Servers), "entries receive them")

	// One of them sends a heartbeat, the other one has stopped.
	require.NoError(t, c.Announce(t.Context(), server("1", instance.StateServing).Announcement))
	c.directory.Sweep(savedAt.Add(4100*time.Millisecond), true)
	require.Equal(t, []string{"1"}, ids(servingServers(knownServers(c))))
}

// A replica was down for a minute. Guards against treating cached servers as if their
// heartbeat had been received at the start.
func TestExpiredServerCacheIsIgnored(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(time.Minute))
	c.directory.Sweep(c.now(), true)
	require.Empty(t, servingServers(knownServers(c)))
}

// A server announces that it leaves after it was cached. Guards against the cached
// record overriding that.
func TestCachedServerDoesNotOverrideLeave(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(time.Second))
	other := directory.NewStore(directory.Config{OverdueAfter: 4 * time.Second, ForgetAfter: time.Minute})
	other.Announce(server("1", instance.StateLeaving).Announcement, savedAt)
	other.Merge(directory.Origin{}, c.directory.Since(0, c.now()).Servers, nil, c.now())
	require.Empty(t, servingServers(other.Servers(c.now())))
	c.directory.Merge(directory.Origin{}, other.Since(0, c.now()).Servers, nil, c.now())
	require.Empty(t, servingServers(knownServers(c)))
}

// Power is lost while the cache is written. Guards against losing the previous one, or
// loading an incomplete file.
func TestTornCacheFileIsSkipped(t *testing.T) {
	m, dir := saveServers(t, server("1", instance.StateServing))
	require.NoError(t, m.save(cachedState{At: savedAt.Add(time.Second), Servers: []directory.Server{server("2", instance.StateServing)}}))
	require.Equal(t, []string{"2"}, ids(knownServers(restartReplica(dir, savedAt.Add(time.Second)))))

	name := filepath.Join(dir, cacheFileNames[1])
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for _, torn := range [][]byte{nil, whole[:len(whole)/2], append([]byte{}, make([]byte, len(whole))...)} {
		require.NoError(t, os.WriteFile(name, torn, 0o600))
		require.Equal(t, []string{"1"}, ids(knownServers(restartReplica(dir, savedAt.Add(time.Second)))))
	}

	// The next write replaces the torn file.
	m = &serverCache{fs: storage.OS{}, dir: dir}
	_, _, err = m.load()
	require.Error(t, err)
	require.NoError(t, m.save(cachedState{At: savedAt.Add(2 * time.Second), Servers: []directory.Server{server("3", instance.StateServing)}}))
	require.Equal(t, []string{"3"}, ids(knownServers(restartReplica(dir, savedAt.Add(2*time.Second)))))
	require.NoError(t, os.Remove(name))
	require.Equal(t, []string{"1"}, ids(knownServers(restartReplica(dir, savedAt.Add(2*time.Second)))))
}

// All processes restart. Guards against entries without a share of the limits, which
// would refuse every workspace with a limit for a minute.
func TestAllowedEntriesAreRestoredAfterRestart(t *testing.T) {
	m, dir := saveServers(t)
	require.NoError(t, m.save(cachedState{At: savedAt.Add(time.Second), AllowedEntries: []string{"a", "b"}, Entries: []directory.Entry{
		{Name: "a", Incarnation: 1, State: instance.StateServing, Address: "10.0.0.1:80"},
	}}))
	at := savedAt.Add(1500 * time.Millisecond)
	c := restartReplica(dir, at)
	c.shares.observe(entryIncarnation{"a", 2}, 0, at)
	require.Equal(t, limit.ShareVote{Entries: 2, Allowed: true}, c.shares.vote("a", at))
	require.Equal(t, "10.0.0.1:80", c.directory.Entries(at)[0].Address)
	require.Empty(t, c.directory.LiveEntries(at), "no call received yet")
}

// A replica that lost its disk knows no entries. Guards against its vote giving one
// entry the whole limit.
func TestReplicaThatLostItsDiskDoesNotVoteOnShares(t *testing.T) {
	c := restartReplica(t.TempDir(), savedAt)
	c.shares.observe(entryIncarnation{"a", 2}, 0, savedAt)
	require.Zero(t, c.shares.vote("a", savedAt))
	later := savedAt.Add(limit.ShareTTL)
	c.shares.observe(entryIncarnation{"a", 2}, 0, later)
	require.Equal(t, limit.ShareVote{Entries: 1, Allowed: true}, c.shares.vote("a", later))
}
