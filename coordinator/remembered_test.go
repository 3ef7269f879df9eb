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

// restartReplica is a replica that starts at a time with what is in the folder.
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

// All control replicas are killed and start again a second later. Servers report each
// second or so: entries would send all requests to the few that have done so, and
// callers would wait.
//
// It breaks without recall.
func TestServersAreRestoredAfterRestart(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing), server("2", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(1500*time.Millisecond))
	require.Equal(t, []string{"1", "2"}, ids(knownServers(c)))
	require.Equal(t, []string{"1", "2"}, ids(c.directory.Since(0, false, c.now()).Servers), "entries are told")

	// One of them reports, the other one is dead.
	c.Announce(server("1", instance.StateServing).Announcement)
	c.directory.Sweep(savedAt.Add(4100*time.Millisecond), true)
	require.Equal(t, []string{"1"}, ids(servingServers(knownServers(c))))
}

// A replica was down for minutes. What it remembers is of no use to anybody.
//
// It breaks if servers count as heard at the start.
func TestExpiredServerCacheIsIgnored(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(time.Minute))
	c.directory.Sweep(c.now(), true)
	require.Empty(t, servingServers(knownServers(c)))
}

// A server says that it leaves, after it was written down. Its next word is believed,
// and what another replica knows.
//
// It breaks if what is remembered counts as news.
func TestCachedServerDoesNotOverrideLeave(t *testing.T) {
	_, dir := saveServers(t, server("1", instance.StateServing))
	c := restartReplica(dir, savedAt.Add(time.Second))
	other := directory.NewStore(directory.Config{OverdueAfter: 4 * time.Second, ForgetAfter: time.Minute})
	other.Announce(server("1", instance.StateLeaving).Announcement, savedAt)
	other.Merge(directory.Origin{}, c.directory.Since(0, true, c.now()).Servers, nil, c.now())
	require.Empty(t, servingServers(other.Servers(c.now())))
	c.directory.Merge(directory.Origin{}, other.Since(0, true, c.now()).Servers, nil, c.now())
	require.Empty(t, servingServers(knownServers(c)))
}

// Power is lost while the list is written. The one before it is whole.
//
// It breaks with a single file, or without the sum.
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

	// The process that finds this writes over the torn one.
	m = &serverCache{fs: storage.OS{}, dir: dir}
	_, _, err = m.load()
	require.Error(t, err)
	require.NoError(t, m.save(cachedState{At: savedAt.Add(2 * time.Second), Servers: []directory.Server{server("3", instance.StateServing)}}))
	require.Equal(t, []string{"3"}, ids(knownServers(restartReplica(dir, savedAt.Add(2*time.Second)))))
	require.NoError(t, os.Remove(name))
	require.Equal(t, []string{"1"}, ids(knownServers(restartReplica(dir, savedAt.Add(2*time.Second)))))
}

// All processes are killed and start again. The replicas know from before which entries
// share the limits; without that, entries would have no share for a minute and refuse every
// workspace that has a limit.
func TestAllowedEntriesAreRestoredAfterRestart(t *testing.T) {
	m, dir := saveServers(t)
	require.NoError(t, m.save(cachedState{At: savedAt.Add(time.Second), AllowedEntries: []string{"a", "b"}, Entries: []directory.Entry{
		{Name: "a", Incarnation: 1, State: instance.StateServing, Address: "10.0.0.1:80"},
	}}))
	at := savedAt.Add(1500 * time.Millisecond)
	c := restartReplica(dir, at)
	c.shares.observe("a", 0, at)
	require.Equal(t, limit.ShareVote{Entries: 2, Allowed: true}, c.shares.vote("a", at))
	require.Equal(t, "10.0.0.1:80", c.directory.Entries(at)[0].Address)
	require.Empty(t, c.directory.LiveEntries(at), "it has not called yet")
}

// A replica that has lost its disk knows of no entry. What it says must not count: an entry
// that believed it would take the whole limit for itself.
func TestReplicaThatLostItsDiskDoesNotVoteOnShares(t *testing.T) {
	c := restartReplica(t.TempDir(), savedAt)
	c.shares.observe("a", 0, savedAt)
	require.Zero(t, c.shares.vote("a", savedAt))
	later := savedAt.Add(limit.ShareTTL)
	c.shares.observe("a", 0, later)
	require.Equal(t, limit.ShareVote{Entries: 1, Allowed: true}, c.shares.vote("a", later))
}
