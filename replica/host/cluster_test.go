package host_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/replica/storage"
)

const (
	kindPut  = replica.KindApplication
	kindMark = replica.KindApplication + 1

	waitTimeout  = 20 * time.Second
	pollInterval = time.Millisecond
)

// put sets one key. It is the only operation of machine.
type put struct {
	Key   string `msgpack:"k"`
	Value string `msgpack:"v"`
}

// machine is a key-value state machine that counts the applied entries.
type machine struct {
	mu    sync.Mutex
	State machineState
}

type machineState struct {
	Values  map[string]string `msgpack:"v"`
	Applied int               `msgpack:"n"`
}

func newMachine() *machine {
	return &machine{State: machineState{Values: map[string]string{}}}
}

func (m *machine) Apply(e replica.Entry) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.State.Applied++
	var p put
	if err := msgpack.Unmarshal(e.Data, &p); err != nil {
		return nil, err
	}
	m.State.Values[p.Key] = p.Value
	return m.State.Applied, nil
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return msgpack.Marshal(&m.State)
}

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.State = machineState{}
	return msgpack.Unmarshal(b, &m.State)
}

func (m *machine) get(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.State.Values[key]
}

// network is an in-memory Transport. A partitioned replica neither sends nor receives.
type network struct {
	mu          sync.Mutex
	nodes       map[uint64]*host.Host
	partitioned map[uint64]bool

	recordedID       uint64 // messages from and to this replica are recorded; 0: none
	recordedMessages []replica.Message
}

func (n *network) Send(m replica.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recordedID != 0 && (m.From == n.recordedID || m.To == n.recordedID) {
		n.recordedMessages = append(n.recordedMessages, m)
	}
	if h := n.nodes[m.To]; h != nil && !n.partitioned[m.To] && !n.partitioned[m.From] {
		h.Step(m)
	}
}

func (n *network) set(id uint64, h *host.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = h
}

func (n *network) setPartitioned(id uint64, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[id] = partitioned
}

func (n *network) startRecording(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordedID = id
}

// recordedBytes returns the encoded size of the recorded messages.
func (n *network) recordedBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	size := 0
	for _, m := range n.recordedMessages {
		b, err := msgpack.Marshal(&m)
		if err != nil {
			panic(err)
		}
		size += len(b)
	}
	return size
}

// node is one running replica.
type node struct {
	*host.Host
	machine *machine
	log     *storage.Log
	cancel  context.CancelFunc
	runErr  chan error
}

// cluster is a group of replicas in one process, each with its own data folder.
type cluster struct {
	t      testing.TB
	dir    string
	fs     storage.FS
	net    *network
	nodes  map[uint64]*node
	config host.Config
}

func newCluster(t testing.TB, config host.Config, ids ...uint64) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), fs: storage.OS{}, config: config,
		net:   &network{nodes: map[uint64]*host.Host{}, partitioned: map[uint64]bool{}},
		nodes: map[uint64]*node{},
	}
	for _, id := range ids {
		c.start(id, ids...)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) start(id uint64, voters ...uint64) *node {
	c.t.Helper()
	dir := filepath.Join(c.dir, strconv.FormatUint(id, 10))
	log, err := storage.Open(storage.Config{Dir: dir, Replica: id}, c.fs)
	require.NoError(c.t, err)
	config := c.config
	config.ID = id
	config.Voters = voters
	m := newMachine()
	h, err := host.New(config, host.Deps{
		Storage: log, Transport: c.net, Machine: m,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now:    time.Now, Rand: rand.New(rand.NewPCG(id, 1)).Int64N,
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Host: h, machine: m, log: log, cancel: cancel, runErr: make(chan error, 1)}
	c.nodes[id] = n
	c.net.set(id, h)
	go func() { n.runErr <- h.Run(ctx) }()
	return n
}

// stop stops a replica and returns the result of Run.
func (c *cluster) stop(id uint64) error {
	n := c.nodes[id]
	delete(c.nodes, id)
	c.net.set(id, nil)
	n.cancel()
	err := <-n.runErr
	require.NoError(c.t, n.log.Close())
	return err
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitTimeout, pollInterval, what)
}

// leader waits for a leader that holds a lease.
func (c *cluster) leader() *node {
	c.t.Helper()
	var found *node
	c.eventually("a leader with a lease", func() bool {
		for _, n := range c.nodes {
			if _, _, ok := n.HoldsLease(); ok {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// mustPut sets a key. It retries after a change of leader, which also happens on a
// busy machine; setting the key twice has no other effect than once.
func (c *cluster) mustPut(key, value string) {
	c.t.Helper()
	data, err := msgpack.Marshal(put{Key: key, Value: value})
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		_, err := c.leader().Propose(ctx, kindPut, data)
		var notLeader *host.NotLeaderError
		if !errors.As(err, &notLeader) && !errors.Is(err, host.ErrOutcomeUnknown) {
			require.NoError(c.t, err)
			return
		}
		require.NoError(c.t, ctx.Err())
	}
}
