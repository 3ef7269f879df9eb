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

// restarted is a replica that starts at a time with what is in the folder.
func restarted(dir string, at time.Time) *Coordinator {
	c := &Coordinator{
		log: slog.New(slog.DiscardHandler), now: func() time.Time { return at }, memory: &serverMemory{fs: storage.OS{}, dir: dir}, shares: newShareBook(at, false),
		directory: directory.NewStore(directory.Config{OverdueAfter: 4 * time.Second, EntryExpiry: entrySilentAfter, ForgetAfter: time.Minute}),
	}
	c.recall(context.Background())
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

func known(c *Coordinator) []directory.Server { return c.directory.Servers(c.now()) }

var savedAt = time.Unix(1_700_000_000, 0)

func saved(t *testing.T, servers ...directory.Server) (*serverMemory, string) {
	m := &serverMemory{fs: storage.OS{}, dir: t.TempDir()}
	require.NoError(t, m.save(savedServers{At: savedAt, Servers: servers}))
	return m, m.dir
}

// All control replicas are killed and start again a second later. Servers report each
// second or so: entries would send all requests to the few that have done so, and
// callers would wait.
//
// It breaks without recall.
func TestServersAreKnownAfterARestart(t *testing.T) {
	_, dir := saved(t, server("1", instance.StateServing), server("2", instance.StateServing))
	c := restarted(dir, savedAt.Add(1500*time.Millisecond))
	require.Equal(t, []string{"1", "2"}, ids(known(c)))
	require.Equal(t, []string{"1", "2"}, ids(c.directory.Since(0, false, c.now()).Servers), "entries are told")

	// One of them reports, the other one is dead.
	c.Announce(server("1", instance.StateServing).Announcement)
	c.directory.Sweep(savedAt.Add(4100*time.Millisecond), true)
	require.Equal(t, []string{"1"}, ids(well(known(c))))
}

// A replica was down for minutes. What it remembers is of no use to anybody.
//
// It breaks if servers count as heard at the start.
func TestOldMemoryIsNotBelieved(t *testing.T) {
	_, dir := saved(t, server("1", instance.StateServing))
	c := restarted(dir, savedAt.Add(time.Minute))
	c.directory.Sweep(c.now(), true)
	require.Empty(t, well(known(c)))
}

// A server says that it leaves, after it was written down. Its next word is believed,
// and what another replica knows.
//
// It breaks if what is remembered counts as news.
func TestLeaveOutlivesAMemory(t *testing.T) {
	_, dir := saved(t, server("1", instance.StateServing))
	c := restarted(dir, savedAt.Add(time.Second))
	other := directory.NewStore(directory.Config{OverdueAfter: 4 * time.Second, ForgetAfter: time.Minute})
	other.Announce(server("1", instance.StateLeaving).Announcement, savedAt)
	other.Merge(directory.Origin{}, c.directory.Since(0, true, c.now()).Servers, nil, c.now())
	require.Empty(t, well(other.Servers(c.now())))
	c.directory.Merge(directory.Origin{}, other.Since(0, true, c.now()).Servers, nil, c.now())
	require.Empty(t, well(known(c)))
}

// Power is lost while the list is written. The one before it is whole.
//
// It breaks with a single file, or without the sum.
func TestTornWriteOfServers(t *testing.T) {
	m, dir := saved(t, server("1", instance.StateServing))
	require.NoError(t, m.save(savedServers{At: savedAt.Add(time.Second), Servers: []directory.Server{server("2", instance.StateServing)}}))
	require.Equal(t, []string{"2"}, ids(known(restarted(dir, savedAt.Add(time.Second)))))

	name := filepath.Join(dir, slotNames[1])
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for _, torn := range [][]byte{nil, whole[:len(whole)/2], append([]byte{}, make([]byte, len(whole))...)} {
		require.NoError(t, os.WriteFile(name, torn, 0o600))
		require.Equal(t, []string{"1"}, ids(known(restarted(dir, savedAt.Add(time.Second)))))
	}

	// The process that finds this writes over the torn one.
	m = &serverMemory{fs: storage.OS{}, dir: dir}
	_, _, err = m.load()
	require.Error(t, err)
	require.NoError(t, m.save(savedServers{At: savedAt.Add(2 * time.Second), Servers: []directory.Server{server("3", instance.StateServing)}}))
	require.Equal(t, []string{"3"}, ids(known(restarted(dir, savedAt.Add(2*time.Second)))))
	require.NoError(t, os.Remove(name))
	require.Equal(t, []string{"1"}, ids(known(restarted(dir, savedAt.Add(2*time.Second)))))
}

// All processes are killed and start again. The replicas know from before which entries
// share the limits; without that, entries would have no share for a minute and refuse every
// workspace that has a limit.
func TestEntriesThatShareAreKnownAfterARestart(t *testing.T) {
	m, dir := saved(t)
	require.NoError(t, m.save(savedServers{At: savedAt.Add(time.Second), Sharers: []string{"a", "b"}, Entries: []directory.Entry{
		{Name: "a", Incarnation: 1, State: instance.StateServing, Address: "10.0.0.1:80"},
	}}))
	at := savedAt.Add(1500 * time.Millisecond)
	c := restarted(dir, at)
	c.shares.note("a", 0, at)
	require.Equal(t, limit.ShareVote{Entries: 2, Allowed: true}, c.shares.word("a", at))
	require.Equal(t, "10.0.0.1:80", c.directory.Entries(at)[0].Address)
	require.Empty(t, c.directory.LiveEntries(at), "it has not called yet")
}

// A replica that has lost its disk knows of no entry. What it says must not count: an entry
// that believed it would take the whole limit for itself.
func TestReplicaThatLostItsDiskSaysNothingOfShares(t *testing.T) {
	c := restarted(t.TempDir(), savedAt)
	c.shares.note("a", 0, savedAt)
	require.Zero(t, c.shares.word("a", savedAt))
	later := savedAt.Add(limit.ShareTTL)
	c.shares.note("a", 0, later)
	require.Equal(t, limit.ShareVote{Entries: 1, Allowed: true}, c.shares.word("a", later))
}
