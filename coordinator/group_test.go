package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// cluster is control replicas in one process, each at its own loopback address.
type cluster struct {
	t        *testing.T
	port     int
	seeds    []string
	baseDir  string
	replicas map[string]*testReplica
}

type testReplica struct {
	*Coordinator
	stop context.CancelFunc
	done chan error
}

// testWait bounds each wait of these tests. Elections take a second or two; the
// rest is for a busy machine.
const testWait = 30 * time.Second

func newCluster(t *testing.T, founders int) *cluster {
	c := &cluster{t: t, port: freePort(t), baseDir: t.TempDir(), replicas: make(map[string]*testReplica)}
	for i := range founders {
		c.seeds = append(c.seeds, net.JoinHostPort(address(i), "1"))
	}
	t.Cleanup(func() {
		for ip := range c.replicas {
			c.kill(ip)
		}
	})
	return c
}

func address(i int) string { return fmt.Sprintf("127.0.77.%d", i+1) }

// freePort returns a port that is free on this machine; the replicas differ by
// their addresses.
func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.77.1:0")
	require.NoError(t, err)
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	return n
}

func (c *cluster) dir(ip string) string { return filepath.Join(c.baseDir, ip) }

func (c *cluster) start(ip string, firstStart bool) *testReplica {
	node := site.Node{
		Name: ip, IP: ip, Zone: "z", Region: "r", FirstPort: c.port, LastPort: c.port + 9, Seeds: c.seeds, FirstStart: firstStart,
		DataDir: c.dir(ip), AnnounceEvery: time.Second,
		Bounds: site.Bounds{
			Drain: time.Second, StopGrace: time.Second, ConfigApply: time.Second, UsageWindow: time.Second, RetryWindow: time.Second, QuotaWindow: time.Second,
		},
	}
	co, err := New(Config{Node: node, ClusterKey: "k"}, Deps{
		Log: slog.New(slog.DiscardHandler), Now: time.Now, FS: storage.OS{}, Seeds: node.SeedLinks,
		Decode: func([]byte) (*routes.Catalogue, error) { return &routes.Catalogue{}, nil },
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &testReplica{Coordinator: co, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- co.Run(ctx, func(*run.Group) error { return nil }) }()
	c.replicas[ip] = r
	return r
}

// kill ends a replica without a hand-over.
// startFirst starts n replicas for the first time.
func (c *cluster) startFirst(n int) {
	for i := range n {
		c.start(address(i), true)
	}
}

func (c *cluster) kill(ip string) {
	r := c.replicas[ip]
	delete(c.replicas, ip)
	r.stop()
	<-r.done
}

// replaceCatalogue puts a catalogue in force through one replica.
func (c *cluster) replaceCatalogue(r *testReplica, revision uint64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		return r.Replace(c.t.Context(), revision, []byte(fmt.Sprint("revision ", revision))) == nil
	}, testWait, 50*time.Millisecond)
}

func (c *cluster) requireCatalogue(r *testReplica, revision uint64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		document, err := r.Newest(c.t.Context())
		return err == nil && string(document) == fmt.Sprint("revision ", revision)
	}, testWait, 50*time.Millisecond)
}

// waitForVoters waits until the leader's voters are just the replicas that run, each
// under the id that it has now.
func (c *cluster) waitForVoters() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		var ids, voters []uint64
		for _, r := range c.replicas {
			m := r.group.current.Load()
			if m == nil {
				return false
			}
			ids = append(ids, m.id)
			if m.leading() {
				voters = slices.Sorted(slices.Values(m.host.Status().Voters))
			}
		}
		slices.Sort(ids)
		return slices.Equal(ids, voters)
	}, testWait, 50*time.Millisecond)
}

// Three replicas start at the same time on empty disks, told nothing but the same
// seeds. Later one loses its disk just after a change, and comes back empty; then
// another one is gone for good and an empty one starts at a new address. No
// acknowledged change is lost, and operators can go on.
func TestGroupBootstrapsAndReplacesMembers(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(3)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	c.waitForVoters()

	// An empty disk at the old address.
	c.replaceCatalogue(c.replicas[address(1)], 2)
	c.kill(address(1))
	require.NoError(t, os.RemoveAll(c.dir(address(1))))
	rejoined := c.start(address(1), false)
	c.waitForVoters()
	c.requireCatalogue(rejoined, 2)
	require.Greater(t, rejoined.group.current.Load().id, uint64(3), "not under its old id")

	// An empty instance at a new address, and one that never comes back.
	c.kill(address(2))
	added := c.start(address(3), false)
	c.waitForVoters()
	c.replaceCatalogue(added, 3)
	c.requireCatalogue(c.replicas[address(0)], 3)

	// All are killed at once.
	for ip := range c.replicas {
		c.kill(ip)
	}
	for _, i := range []int{0, 1, 3} {
		c.start(address(i), false)
	}
	c.requireCatalogue(c.replicas[address(3)], 3)
}

// Five replicas run, of which three founded the group. The other two become
// voters, so that two may be lost.
func TestGroupGrowsToFiveVoters(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(5)
	c.replaceCatalogue(c.replicas[address(4)], 1)
	c.waitForVoters()
	c.kill(address(0))
	c.kill(address(1))
	c.replaceCatalogue(c.replicas[address(4)], 2)
}

// One of two replicas that are up has lost its disk, and the third is dark. The
// change that the dark one and the lost one had acknowledged must not be lost: no
// leader may come up without it.
func TestLostDiskDoesNotLoseAcknowledgedChange(t *testing.T) {
	c := newCluster(t, 3)
	c.startFirst(3)
	c.replaceCatalogue(c.replicas[address(0)], 1)
	c.waitForVoters()
	c.kill(address(2)) // it misses the next change
	c.replaceCatalogue(c.replicas[address(0)], 2)
	c.kill(address(1))
	c.kill(address(0))
	require.NoError(t, os.RemoveAll(c.dir(address(0))))
	c.start(address(0), false)
	lagging := c.start(address(2), false)
	require.Eventually(t, func() bool {
		m := lagging.group.current.Load()
		return m != nil && m.host.Status().Role == replica.PreCandidate
	}, testWait, 10*time.Millisecond, "it stands for election")
	for range 3 { // each read looks for a leader for longer than an election takes
		_, err := lagging.Newest(t.Context())
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	}
	c.start(address(1), false)
	c.requireCatalogue(lagging, 2)
}
