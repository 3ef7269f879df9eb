package reach

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/path"
	"savoryreel.example/savoryreel/tunnel"
)

// Server is a backend server as far as its connections matter.
type Server struct {
	Address string // host:port
	Zone    string
	// ProbeTarget is the path of its health check; any answer to it is a sign.
	ProbeTarget string
}

// Config holds the settings of a Dialer.
type Config struct {
	// DialTimeout bounds the opening of a connection on the own path, and through one other entry.
	DialTimeout time.Duration
	Self        link.PeerInfo
	ClusterKey  string
}

// Deps holds the dependencies of a Dialer.
type Deps struct {
	Log     *slog.Logger
	Now     func() time.Time
	Metrics *metrics.Set
	Traffic *link.Traffic
	// Servers returns at most n serving backend servers, chosen at random.
	Servers func(n int) []Server
	// ZoneOf returns the zone of the server at an address; empty if it is not known.
	ZoneOf func(addr string) string
	// Peers returns the other entries that serve.
	Peers func() []path.Peer
	// DialDirect opens a connection on the own path; nil: TCP.
	DialDirect func(ctx context.Context, addr string) (net.Conn, error)
	// PathChanged is called after the path has got lost or is restored: idle connections of before
	// are not to be used any more. It may be nil.
	PathChanged func()
}

// Error is the error of a connection that could not be opened.
type Error struct {
	Addr string
	// Gone reports that the server takes no connections from an entry that reaches other servers.
	// Otherwise nothing is known of the server.
	Gone  bool
	Cause error
}

func (e *Error) Error() string {
	if e.Gone {
		return e.Cause.Error()
	}
	return "own path: " + e.Cause.Error()
}

func (e *Error) Unwrap() error { return e.Cause }

// Gone reports whether err says that a server takes no connections from an entry that reaches others.
func Gone(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Gone
}

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	// Carrier carries tunnels of other entries.
	Carrier *tunnel.Server

	cfg     Config
	deps    Deps
	streams *link.StreamDialer

	lostSignal chan struct{} // wakes Run when the path has got lost

	mu      sync.Mutex
	tracker *path.Tracker
	check   *check                   // in progress; nil if none
	unknown time.Time                // last check in which no server answered anybody
	avoided map[string]time.Time     // other entries that opened no connection, and until when they come last
	direct  map[*directConn]struct{} // open connections on the own path
}

// New returns a Dialer. Run must be called.
func New(cfg Config, deps Deps) *Dialer {
	direct := newDirectDialer(cfg.DialTimeout)
	if deps.DialDirect == nil {
		deps.DialDirect = func(ctx context.Context, addr string) (net.Conn, error) { return direct.DialContext(ctx, "tcp", addr) }
	}
	d := &Dialer{
		cfg: cfg, deps: deps, lostSignal: make(chan struct{}, 1),
		tracker: path.NewTracker(), avoided: make(map[string]time.Time), direct: make(map[*directConn]struct{}),
	}
	d.streams = &link.StreamDialer{
		Self: cfg.Self, ClusterKey: []byte(cfg.ClusterKey), Traffic: deps.Traffic,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return direct.DialContext(ctx, "tcp", addr) },
	}
	d.Carrier = tunnel.NewServer(deps.Metrics, d.dialForPeer)
	deps.Metrics.NewGauge("savoryreel_path_lost", func() float64 {
		if d.Lost() {
			return 1
		}
		return 0
	})
	return d
}

// Lost reports whether the entry's own path to the servers is lost.
func (d *Dialer) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Lost()
}

// Dial opens a connection to the server at addr. The error is an *Error.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return d.dial(ctx, addr, d.cfg.DialTimeout, false)
}

// Alive opens a connection to the server at addr to learn whether it lives. On the own path that may
// take no longer than timeout. The error is an *Error; that the server is gone is said only if others
// were reached since.
func (d *Dialer) Alive(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	return d.dial(ctx, addr, timeout, true)
}

func (d *Dialer) dial(ctx context.Context, addr string, timeout time.Duration, strictly bool) (net.Conn, error) {
	lost := d.Lost()
	if lost {
		c, err := d.dialThroughPeers(ctx, addr)
		if err == nil || Gone(err) || ctx.Err() != nil {
			return c, err
		}
		// No other entry helps: the own path may have come back.
	}
	begun := d.deps.Now()
	c, err := d.dialDirect(ctx, addr, timeout)
	if err == nil && lost {
		err = c.staysOpen()
	}
	if err == nil {
		return c, nil
	}
	if ctx.Err() != nil {
		return nil, &Error{Addr: addr, Cause: err}
	}
	switch d.judge(ctx, addr, begun, strictly) {
	case path.Sound:
		return nil, &Error{Addr: addr, Gone: true, Cause: err}
	case path.Lost:
		return d.dialThroughPeers(ctx, addr)
	default:
		return nil, &Error{Addr: addr, Cause: err}
	}
}

// judge returns the state of the own path after a connection to a server, begun at a time, could not be
// opened.
func (d *Dialer) judge(ctx context.Context, addr string, begun time.Time, strictly bool) path.Outcome {
	switch lost, checkNeeded := d.failedDial(begun, strictly); {
	case lost:
		return path.Unknown // the other entries were asked before
	case !checkNeeded:
		return path.Sound
	case d.nobodyAnswered():
		return path.Unknown
	case strictly:
		return d.runCheck(ctx, addr, answers)
	default:
		return d.runCheck(ctx, addr, connects)
	}
}

// failedDial reports whether the own path is lost, and whether a check is needed to judge a failed dial.
func (d *Dialer) failedDial(begun time.Time, strictly bool) (lost, checkNeeded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Lost(), d.tracker.DialFailed(begun, strictly)
}

// dialDirect opens a connection on the own path.
func (d *Dialer) dialDirect(ctx context.Context, addr string, timeout time.Duration) (*directConn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := d.deps.DialDirect(ctx, addr)
	if err != nil {
		return nil, err
	}
	d.dialled()
	return d.newDirectConn(nc, addr), nil
}

// dialForPeer opens a connection on the own path for another entry.
func (d *Dialer) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	if d.Lost() {
		return nil, tunnel.NoPath
	}
	begun := d.deps.Now()
	c, err := d.dialDirect(ctx, addr, d.cfg.DialTimeout)
	if err == nil {
		return c, nil
	}
	lost, checkNeeded := d.failedDial(begun, true)
	if !lost && (!checkNeeded || d.othersAnswer(ctx, addr)) {
		return nil, tunnel.ServerGone
	}
	return nil, tunnel.NoPath
}

const (
	// maxPeersFailed bounds the entries that are asked for one connection and do not open it.
	maxPeersFailed = 3
	// maxPeersWithoutPath bounds those that say at once that they reach no server either.
	maxPeersWithoutPath = 20
	// avoidFor is how long an entry that opened no connection comes last.
	avoidFor = time.Second
)

// dialThroughPeers opens a connection to a server through another entry.
func (d *Dialer) dialThroughPeers(ctx context.Context, addr string) (net.Conn, error) {
	err := errNoPeer
	failed, withoutPath := 0, 0
	for peers := d.peersFor(addr); len(peers) > 0 && failed < maxPeersFailed && withoutPath < maxPeersWithoutPath; {
		peer := peers[0]
		peers = peers[1:]
		c, openErr := d.dialThrough(ctx, peer, addr)
		if openErr == nil {
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, &Error{Addr: addr, Cause: openErr}
		}
		if errors.Is(openErr, tunnel.ServerGone) {
			return nil, &Error{Addr: addr, Gone: true, Cause: openErr}
		}
		err = openErr
		if wasAvoided := d.avoid(peer); wasAvoided || !errors.Is(openErr, tunnel.NoPath) {
			failed++
			continue
		}
		withoutPath++
		peers = path.ZoneLast(peers, peer.Zone)
	}
	return nil, &Error{Addr: addr, Cause: err}
}

var errNoPeer = errors.New("no other entry is known")

// dialThrough opens a connection to a server through one other entry.
func (d *Dialer) dialThrough(ctx context.Context, peer path.Peer, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DialTimeout)
	defer cancel()
	req := tunnel.OpenRequest{Address: addr, Timeout: d.cfg.DialTimeout / 2}
	c, err := tunnel.Open(ctx, d.streams, peer.Address, req, d.pathChanged)
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: c, dialer: d}, nil
}

// peersFor returns the entries to ask for a connection to a server, in order.
func (d *Dialer) peersFor(addr string) []path.Peer {
	peers, zone, now := shuffled(d.deps.Peers()), d.deps.ZoneOf(addr), d.deps.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return path.Order(peers, zone, func(p path.Peer) bool { return now.Before(d.avoided[p.Name]) })
}

// avoid makes an entry come last for a while, and reports whether it did so already.
func (d *Dialer) avoid(p path.Peer) (already bool) {
	now := d.deps.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	already = now.Before(d.avoided[p.Name])
	d.avoided[p.Name] = now.Add(avoidFor)
	return already
}

func (d *Dialer) pathChanged() {
	if d.deps.PathChanged != nil {
		d.deps.PathChanged()
	}
}

// conclude applies the outcome of a check.
func (d *Dialer) conclude(o path.Outcome, cause string) {
	d.mu.Lock()
	lost, silent := d.tracker.Conclude(o), d.tracker.SilentForLimit(d.deps.Now())
	d.mu.Unlock()
	if !lost {
		return
	}
	event.Log(context.Background(), d.deps.Log, slog.LevelWarn, event.PathLost, slog.String("cause", cause))
	select {
	case d.lostSignal <- struct{}{}:
	default:
	}
	d.pathChanged()
	if silent {
		d.Carrier.CloseAll()
		d.abandonRepeatable()
	}
}

const (
	// probeInterval is the time between two probes of servers while the path is lost.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long a server has to answer a probe.
	probeTimeout = 400 * time.Millisecond
)

// Run probes servers while the path is lost, until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	for {
		select {
		case <-d.lostSignal:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := d.probeUntilRestored(ctx); err != nil {
			return err
		}
	}
}

// probeUntilRestored probes one server after the other on new connections until the path is restored.
func (d *Dialer) probeUntilRestored(ctx context.Context) error {
	lostAt := d.deps.Now()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		answered := false
		for _, s := range d.deps.Servers(1) {
			answered = d.probeDirect(ctx, s, answers) == nil
		}
		d.mu.Lock()
		restored := d.tracker.Probed(answered)
		d.mu.Unlock()
		if restored {
			event.Log(ctx, d.deps.Log, slog.LevelInfo, event.PathRestored, slog.Duration("after", d.deps.Now().Sub(lostAt)))
			d.pathChanged()
			return nil
		}
	}
}
