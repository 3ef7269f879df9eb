package coordinator

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/replica/storage"
)

// restartReplica returns a replica that started at a time with the cache in dir.
func restartReplica(dir string, at time.Time) *Coordinator {
	c := &Coordinator{
		log: slog.New(slog.DiscardHandler), now: func() time.Time { return at }, cache: &serverCache{fs: storage.OS{}, dir: dir, base: servingFiles}, shares: newShareBoard(), group: &group{}, catalogue: newLatestCatalogue(),
		directory: directory.NewStore(directory.Config{OverdueAfter: 4 * time.Second, EntryExpiry: entryExpiry, ForgetAfter: time.Minute}),
	}
	c.leftCache = &serverCache{fs: storage.OS{}, dir: dir, base: leftFiles}
	c.leaves = newLeaves(leavesDeps{directory: c.directory, saver: &sharedWrite{write: c.saveLeft}, now: c.now})
	c.versions = newVersionBoard(commitNothing, c.now)
	c.origins = newOriginTable(&originLog{fs: storage.OS{}, dir: dir}, c.log, c.now)
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
	m := &serverCache{fs: storage.OS{}, dir: t.TempDir(), base: servingFiles}
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

// All control replicas restart. Guards against servers that have left and are served again, since they
// are among those that were saved as serving a moment before.
func TestLeavesOutlastARestart(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing), server("2", instance.StateServing), server("3", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(100*time.Millisecond))
	require.Len(t, servingServers(knownServers(c)), 3)
	require.True(t, c.directory.Leave("1", 0, c.now()))
	require.True(t, c.directory.Announce(server("2", instance.StateLeaving).Announcement, c.now()))
	require.NoError(t, c.leaves.saver.save(t.Context()))
	for range 2 {
		c = restartReplica(dir, savedAt.Add(2*time.Second))
		require.Equal(t, []string{"3"}, ids(servingServers(knownServers(c))))
	}
	c.directory.Sweep(savedAt.Add(10*time.Minute), false)
	require.Empty(t, c.directory.Left(c.now()), "they are forgotten in the end")
}

// A disk is full, or hangs. Guards against leaves that are acknowledged though they are on no disk, and
// against calls that wait for the disk for ever.
func TestLeaveThatIsNotSavedIsNotHeld(t *testing.T) {
	c := restartReplica(t.TempDir(), savedAt)
	c.leftCache.dir = "/dev/null/full"
	_, err := c.leaves.holdForPeer(t.Context(), link.PeerInfo{}, api.HoldLeavesRequest{Servers: []directory.Server{server("1", instance.StateGone)}})
	require.Error(t, err)
	hung := &sharedWrite{write: c.saveLeft}
	hung.writing = true // a write that does not end
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, hung.save(ctx), context.DeadlineExceeded)
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

	name := m.file(1)
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for _, torn := range [][]byte{nil, whole[:len(whole)/2], append([]byte{}, make([]byte, len(whole))...)} {
		require.NoError(t, os.WriteFile(name, torn, 0o600))
		require.Equal(t, []string{"1"}, ids(knownServers(restartReplica(dir, savedAt.Add(time.Second)))))
	}

	// The next write replaces the torn file.
	m = &serverCache{fs: storage.OS{}, dir: dir, base: servingFiles}
	_, _, err = m.load()
	require.Error(t, err)
	require.NoError(t, m.save(cachedState{At: savedAt.Add(2 * time.Second), Servers: []directory.Server{server("3", instance.StateServing)}}))
	require.Equal(t, []string{"3"}, ids(knownServers(restartReplica(dir, savedAt.Add(2*time.Second)))))
	require.NoError(t, os.Remove(name))
	require.Equal(t, []string{"1"}, ids(knownServers(restartReplica(dir, savedAt.Add(2*time.Second)))))
}

// All processes restart. Guards against callers who are sent to an entry that may be gone, and against entries
// that have no share of the limits until a leader is elected.
func TestEntriesAreRestoredAfterRestart(t *testing.T) {
	m, dir := saveServers(t)
	require.NoError(t, m.save(cachedState{At: savedAt.Add(time.Second), Entries: []directory.Entry{
		{Name: "a", Incarnation: 1, State: instance.StateServing, Address: "10.0.0.1:80"},
	}, GrantsIndex: 7, Grants: []limit.Grant{{Name: "a", Divisor: 2, Reserved: 2, Index: 7}}}))
	at := savedAt.Add(1500 * time.Millisecond)
	c := restartReplica(dir, at)
	require.Equal(t, "10.0.0.1:80", c.directory.Entries(at)[0].Address)
	require.Empty(t, c.directory.LiveEntries(at), "no call received yet")
	require.Equal(t, 2, c.shares.latest(limit.NewTable(6, nil)).Get("a").Divisor)
	require.Zero(t, c.shares.latest(limit.NewTable(8, nil)).Get("a"), "the log has gone on")
}

// Guards against servers that are not restored, and leaves that are forgotten, because another server's record cannot
// be read: it has a field of another type, lacks some, or has a state that is not known.
func TestUnreadableRecordLosesNoOther(t *testing.T) {
	foreign := []any{
		map[string]any{"id": "2"},
		[]any{"2"},
		"2", nil, 7,
		server("", instance.StateServing), server("2", "resting"),
	}
	for _, record := range foreign {
		body, err := msgpack.Marshal(map[string]any{"at": savedAt, "servers": []any{server("1", instance.StateServing), record, server("3", instance.StateServing)}})
		require.NoError(t, err)
		file, err := msgpack.Marshal(&cacheFile{Sum: xxhash.Sum64(body), Body: body})
		require.NoError(t, err)
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, servingFiles+".0"), file, 0o600))
		c := restartReplica(dir, savedAt.Add(time.Second))
		require.Equal(t, []string{"1", "3"}, ids(knownServers(c)), "%v", record)
	}
}
