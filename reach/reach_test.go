package reach

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/path"
	"savoryreel.example/savoryreel/tunnel"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testTimeout = 5 * time.Second

// failure is how the connections of an entry that is cut off fail.
type failure int32

const (
	reaches failure = iota
	refused
	hangs     // new connections
	goSilent  // new connections are opened, and no byte passes on any
	resetOnce // new connections are opened and reset
)

// entry is an entry whose path to the servers can fail.
type entry struct {
	*Dialer
	name    string
	addr    string
	failure atomic.Int32
	changes atomic.Int32 // of the path
	dials   atomic.Int32 // on the own path

	mu     sync.Mutex
	healed chan struct{} // closed when bytes pass
}

// entries is a site of entries that know each other and the same servers.
type entries struct {
	t       *testing.T
	all     []*entry
	servers []string
	silent  atomic.Bool // servers answer nothing
}

// startEntries starts n entries in zones of their own, and servers that answer each request with its
// path.
func startEntries(t *testing.T, n, servers int) *entries {
	t.Helper()
	s := &entries{t: t}
	for range servers {
		s.servers = append(s.servers, s.startServer())
	}
	for i := range n {
		s.startEntry(i)
	}
	return s
}

func (s *entries) startServer() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	srv := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silent.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	go func() { _ = srv.Serve(l) }() // ends with Close
	s.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func (s *entries) startEntry(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	e := &entry{name: string(rune('a' + i)), addr: l.Addr().String(), healed: make(chan struct{})}
	close(e.healed)
	set := metrics.NewSet()
	e.Dialer = New(Config{DialTimeout: 300 * time.Millisecond, Self: link.PeerInfo{ID: e.name}, ClusterKey: "key"}, Deps{
		Log: slog.New(slog.DiscardHandler), Now: time.Now, Metrics: set, Traffic: link.NewTraffic(nil),
		Servers: s.someServers, ZoneOf: func(string) string { return "z1" }, Peers: func() []path.Peer { return s.peersOf(e) },
		DialDirect: e.dialDirectly, PathChanged: func() { e.changes.Add(1) },
	})
	ctx, stop := context.WithCancel(context.Background())
	srv := link.NewServer(link.ServerConfig{Self: link.PeerInfo{ID: e.name}, ClusterKey: []byte("key")}, link.ServerDeps{})
	e.Carrier.Register(srv)
	var running sync.WaitGroup
	running.Go(func() { _ = srv.Serve(ctx, l) })
	running.Go(func() { _ = e.Run(ctx) })
	s.t.Cleanup(func() {
		e.heal()
		stop()
		running.Wait()
	})
	s.all = append(s.all, e)
}

func (s *entries) someServers(n int) []Server {
	var out []Server
	for _, addr := range shuffled(s.servers) {
		out = append(out, Server{Address: addr, Zone: "z1", ProbeTarget: "/healthz"})
	}
	return out[:min(n, len(out))]
}

func (s *entries) peersOf(self *entry) []path.Peer {
	var out []path.Peer
	for _, e := range s.all {
		if e != self {
			out = append(out, path.Peer{Name: e.name, Zone: "z1", Address: e.addr})
		}
	}
	return out
}

func (e *entry) cut(f failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failure.Store(int32(f))
	e.healed = make(chan struct{})
}

func (e *entry) heal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if failure(e.failure.Swap(int32(reaches))) != reaches {
		close(e.healed)
	}
}

func (e *entry) passes() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.healed
}

func (e *entry) dialDirectly(ctx context.Context, addr string) (net.Conn, error) {
	e.dials.Add(1)
	switch failure(e.failure.Load()) {
	case refused:
		return nil, syscall.ECONNREFUSED
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &failingConn{Conn: nc, entry: e, closed: make(chan struct{})}, nil
}

// failingConn is a connection of an entry that may be cut off.
type failingConn struct {
	net.Conn
	entry     *entry
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *failingConn) Read(p []byte) (int, error) {
	switch failure(c.entry.failure.Load()) {
	case resetOnce:
		return 0, syscall.ECONNRESET
	case goSilent:
		select {
		case <-c.entry.passes():
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Read(p)
}

func (c *failingConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// get sends a request to a server over a new connection of an entry and returns the answer.
func (e *entry) get(t *testing.T, addr, target string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, err := e.Dial(ctx, addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	return exchange(c, target)
}

func exchange(c net.Conn, target string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://server"+target, nil)
	if err != nil {
		return "", err
	}
	if err := req.Write(c); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// awaitLost waits until an entry knows that its path is lost, while callers send requests.
func (s *entries) awaitLost(e *entry) {
	s.t.Helper()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
				defer cancel()
				c, err := e.Dial(ctx, s.servers[i%len(s.servers)])
				if err != nil {
					return
				}
				defer c.Close()
				stopRead := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stopRead()
				_, _ = exchange(c, "/x")
			})
		}
	})
	require.Eventually(s.t, e.Lost, testTimeout, 5*time.Millisecond)
	close(stop)
	callers.Wait()
}

// Guards against callers of an entry that is cut off from all servers, in whatever way its connections
// fail: it finds out, reaches servers through others, and uses its own path again once that is back.
func TestLostPathIsReplacedByOtherEntries(t *testing.T) {
	for name, f := range map[string]failure{"refused": refused, "hangs": hangs, "silent": goSilent, "reset": resetOnce} {
		t.Run(name, func(t *testing.T) {
			s := startEntries(t, 3, 4)
			cutOff := s.all[0]
			_, err := cutOff.get(t, s.servers[0], "/before")
			require.NoError(t, err)
			cutOff.cut(f)
			s.awaitLost(cutOff)
			for i := range 8 {
				answer, err := cutOff.get(t, s.servers[i%len(s.servers)], "/through")
				require.NoError(t, err)
				require.Equal(t, "/through", answer)
			}
			cutOff.heal()
			require.Eventually(t, func() bool { return !cutOff.Lost() }, testTimeout, 10*time.Millisecond)
			c, err := cutOff.Dial(t.Context(), s.servers[0])
			require.NoError(t, err)
			defer c.Close()
			require.IsType(t, &directConn{}, c)
			require.EqualValues(t, 2, cutOff.changes.Load())
			for _, other := range s.all[1:] {
				require.False(t, other.Lost())
			}
		})
	}
}

// Guards against callers of an entry that is cut off together with most others: it asks a few of them, and
// sends on its own path, on which a call that may run once is lost.
func TestOtherEntriesWithoutPathArePassedOver(t *testing.T) {
	const cutOff = 9
	s := startEntries(t, cutOff+1, 3)
	for _, e := range s.all[:cutOff] {
		e.cut(resetOnce)
		e.tracker.Conclude(path.Lost)
	}
	for range 10 {
		answer, err := s.all[0].get(t, s.servers[0], "/x")
		require.NoError(t, err)
		require.Equal(t, "/x", answer)
		clear(s.all[0].avoided) // as if some time had passed
	}
	require.Zero(t, s.all[0].dials.Load(), "on the path that is lost")
}

// Guards against a server that counts as gone because it can't be reached at the moment, on a path on which
// connections are opened and then reset.
func TestConnectionsThatAreResetSayNothingOfAServer(t *testing.T) {
	s := startEntries(t, 1, 3)
	s.all[0].cut(resetOnce)
	begun := time.Now()
	s.all[0].dialled() // another connection was opened meanwhile
	require.NotEqual(t, path.Sound, s.all[0].judge(t.Context(), closedAddress(t), begun, true))
}

// Guards against a server that counts as gone because one entry can't reach it, and against one that is
// gone and does not count so.
func TestGoneMeansThatOthersAreReached(t *testing.T) {
	s := startEntries(t, 2, 3)
	gone := closedAddress(t)
	_, err := s.all[0].Alive(t.Context(), gone, time.Second)
	require.True(t, Gone(err), "its own path is sound: %v", err)
	require.False(t, s.all[0].Lost())
	s.all[0].cut(refused)
	c, err := s.all[0].Alive(t.Context(), s.servers[0], time.Second)
	require.NoError(t, err, "another entry reaches it")
	require.NoError(t, c.Close())
	require.True(t, s.all[0].Lost())
	_, err = s.all[0].Alive(t.Context(), gone, time.Second)
	require.True(t, Gone(err), "another entry says so: %v", err)
	s.all[1].cut(refused)
	_, err = s.all[0].Alive(t.Context(), s.servers[0], time.Second)
	require.Error(t, err)
	require.False(t, Gone(err), "nobody reaches it: %v", err)
}

// Guards against tunnels through entries that are cut off as well, and against those that such an entry
// would carry on through a third.
func TestTunnelsAreNotCarriedOn(t *testing.T) {
	s := startEntries(t, 2, 3)
	for _, e := range s.all {
		e.cut(refused)
	}
	for _, e := range s.all {
		_, err := e.get(t, s.servers[0], "/x")
		require.False(t, Gone(err))
	}
	s.startEntry(2)
	s.all[1].tracker.Conclude(path.Lost)
	d := &link.StreamDialer{
		Self: link.PeerInfo{ID: "x"}, ClusterKey: []byte("key"), Traffic: link.NewTraffic(nil),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	_, err := tunnel.Open(t.Context(), d, s.all[1].addr, tunnel.OpenRequest{Address: s.servers[0], Timeout: time.Second}, nil)
	require.ErrorIs(t, err, tunnel.NoPath)
}

// Guards against an entry that leaves its path because sound servers fall silent for a second, or that
// asks all of them all the time.
func TestSilentServersAreNoLostPath(t *testing.T) {
	s := startEntries(t, 3, 4)
	e := s.all[0]
	s.silent.Store(true)
	var calls sync.WaitGroup
	begun := time.Now()
	for time.Since(begun) < 1500*time.Millisecond {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			c, err := e.Dial(ctx, s.servers[0])
			if err != nil {
				return
			}
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stop()
			_, _ = exchange(c, "/x")
		})
		time.Sleep(50 * time.Millisecond)
	}
	calls.Wait()
	require.False(t, e.Lost())
	s.silent.Store(false)
	answer, err := e.get(t, s.servers[0], "/again")
	require.NoError(t, err)
	require.Equal(t, "/again", answer)
	require.Less(t, int(e.dials.Load()), 60, "30 calls, and a few probes")
}

// Guards against a crash of one server that costs new connections to others for each request on it.
func TestCrashOfOneServerCostsFewConnections(t *testing.T) {
	s := startEntries(t, 2, 4)
	e := s.all[0]
	_, err := e.get(t, s.servers[0], "/x")
	require.NoError(t, err)
	gone := closedAddress(t)
	before := e.dials.Load()
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			_, err := e.Alive(t.Context(), gone, 100*time.Millisecond)
			if !Gone(err) {
				t.Errorf("not gone: %v", err)
			}
		})
	}
	calls.Wait()
	require.LessOrEqual(t, e.dials.Load()-before, int32(20+2))
	require.False(t, e.Lost())
}

// Guards against requests that may be sent again and wait on a silent path until their callers give up,
// and against connections that are held for ever.
func TestRepeatableExchangesLeaveASilentPath(t *testing.T) {
	s := startEntries(t, 2, 3)
	e := s.all[0]
	repeatable, err := e.Dial(t.Context(), s.servers[0])
	require.NoError(t, err)
	defer repeatable.Close()
	once, err := e.Dial(t.Context(), s.servers[0])
	require.NoError(t, err)
	defer once.Close()
	repeatable.(*directConn).SetRepeatable(true)
	e.cut(goSilent)
	ended := make(chan error, 2)
	go func() {
		_, err := exchange(repeatable, "/x")
		ended <- err
	}()
	onceEnded := make(chan error, 1)
	go func() {
		_, err := exchange(once, "/x")
		onceEnded <- err
	}()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(testTimeout):
		t.Fatal("it still waits")
	}
	require.True(t, e.Lost())
	select {
	case err := <-onceEnded:
		t.Fatalf("a call that may run once was given up: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	e.heal()
	require.NoError(t, <-onceEnded, "its answer may still come")
	_ = repeatable.Close() // it was closed
	require.NoError(t, once.Close())
	e.Dialer.mu.Lock()
	defer e.Dialer.mu.Unlock()
	require.Empty(t, e.direct)
}

// closedAddress returns an address on which nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// Guards against an entry without others that takes no crash for one, since the check of its own path ends
// before the servers have answered.
func TestEntryAloneTellsWhichServerIsGone(t *testing.T) {
	s := startEntries(t, 1, 3)
	e := s.all[0]
	for range 20 {
		s.servers = append(s.servers[:2:2], closedAddress(t), closedAddress(t))
		_, err := e.Alive(t.Context(), s.servers[3], time.Second)
		require.True(t, Gone(err), "%v", err)
		e.Dialer.mu.Lock()
		e.tracker = path.NewTracker()
		e.Dialer.mu.Unlock()
	}
}
