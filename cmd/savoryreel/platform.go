package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/coordinator"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/gateway"
	"savoryreel.example/savoryreel/intake"
	"savoryreel.example/savoryreel/platform"
	"savoryreel.example/savoryreel/replica/storage"
	"savoryreel.example/savoryreel/settings"
	"savoryreel.example/savoryreel/site"
)

// platformConfig holds the settings that are not in the platform's settings file.
type platformConfig struct {
	File       string
	ClusterKey string
	LogLevel   string
}

// defaultClusterKey only prevents connections from unrelated programs by mistake. It need not
// be secret, because on the platform only the system's own instances can reach these ports.
const defaultClusterKey = "savoryreel"

func (c *platformConfig) declare(s *settings.Set) {
	s.String(&c.File, "settings-file", os.Getenv(platform.SettingsVariable), "settings file of the platform", settings.Required)
	s.String(&c.ClusterKey, "cluster-key", defaultClusterKey, "key that the system's own processes share", settings.Required)
	s.String(&c.LogLevel, "log-level", "info", "debug, info, warn or error", settings.LogLevel)
}

func newPlatform() *cobra.Command {
	cmd := &cobra.Command{Use: "platform", Short: "Run the system's processes on the users' platform"}
	cmd.AddCommand(
		platformCommand("entry", "Run an entry: take callers' requests and pass them on to backend servers", runPlatformEntry),
		platformCommand("control", "Run a control replica: store the catalogue of routes and track the backend servers", runPlatformControl),
	)
	return cmd
}

func platformCommand(use, short string, start func(context.Context, *platformConfig, *slog.Logger) error) *cobra.Command {
	var cfg platformConfig
	return daemonCommand(use, short, cfg.declare, &cfg.LogLevel, func(ctx context.Context, log *slog.Logger) error {
		return start(ctx, &cfg, log)
	})
}

// node holds the effective settings, which may change while the process runs.
type node struct {
	log     *slog.Logger
	path    string
	content []byte // of the settings file at the start of the process
	current atomic.Pointer[site.Node]
}

// readNode reads the settings file and applies its memory limit to the process.
func readNode(cfg *platformConfig, log *slog.Logger) (*node, error) {
	n := &node{log: log, path: cfg.File}
	siteNode, err := n.read()
	if err != nil {
		event.Log(context.Background(), log, slog.LevelError, event.SettingsRefused, slog.String("file", cfg.File), slog.String("error", err.Error()))
		return nil, err
	}
	daemon.LimitMemory(siteNode.Capacity.MemoryBytes)
	return n, nil
}

func (n *node) read() (*site.Node, error) {
	content, err := os.ReadFile(n.path)
	if err != nil {
		return nil, trace.Wrap(err, "step=read settings")
	}
	siteNode, unknown, err := platform.DecodeSettings(content)
	if err != nil {
		return nil, err
	}
	if len(unknown) > 0 {
		event.Log(context.Background(), n.log, slog.LevelInfo, event.SettingsRead, slog.String("file", n.path), slog.Any("unknown", unknown))
	}
	n.content = content
	n.current.Store(&siteNode)
	return &siteNode, nil
}

// watch reloads the settings file when it changes, until ctx ends.
func (n *node) watch(ctx context.Context) error {
	return daemon.WatchFile(ctx, n.log, n.path, n.content, n.reload)
}

// Fractions of a process's connections and requests in progress that its listeners have. The rest is that of the
// operations listener (daemon.OperationsFraction).
const (
	callersFraction   = 0.85
	readinessFraction = 0.1
	operatorsFraction = 0.65
	directoryFraction = 0.3
)

// clients returns the bounds on what the process holds for its clients.
func (n *node) clients() *intake.Intake {
	capacity := n.current.Load().Capacity
	return intake.New(intake.LimitsOf(capacity.MemoryBytes, capacity.Descriptors), time.Now)
}

// seeds returns the link addresses of the control replicas in the effective settings.
func (n *node) seeds() []string { return n.current.Load().SeedLinks() }

// reload replaces the effective settings, or logs and ignores invalid ones. In a running
// process only the seeds are applied; the addresses and resources of an instance do not
// change while it runs.
func (n *node) reload(content []byte) {
	next, _, err := platform.DecodeSettings(content)
	if err != nil {
		event.Log(context.Background(), n.log, slog.LevelError, event.SettingsRefused, slog.String("error", err.Error()))
		return
	}
	n.current.Store(&next)
}

func runPlatformEntry(ctx context.Context, cfg *platformConfig, log *slog.Logger) error {
	n, err := readNode(cfg, log)
	if err != nil {
		return err
	}
	clients := n.clients()
	g, err := gateway.New(gateway.Config{Node: *n.current.Load(), ClusterKey: cfg.ClusterKey}, gateway.Deps{
		Log: log, Now: time.Now, Seeds: n.seeds, Decode: platform.DecodeCatalogue, Dialect: platform.Dialect{}, Clients: clients,
	})
	if err != nil {
		return err
	}
	return g.Run(ctx, func(group *run.Group) (*daemon.HTTPServer, error) {
		listen := n.current.Load().Listen
		daemon.Actor(group, n.watch)
		daemon.Actor(group, daemon.TuneGC)
		readiness := clients.Gate("readiness", readinessFraction)
		if err := serve(ctx, group, log, readiness, listen.Readiness, platform.ReadinessHandler(g.Ready)); err != nil {
			return nil, err
		}
		gate := clients.Gate("callers", callersFraction)
		callers, err := daemon.ListenClients(ctx, log, gate, listen.Callers)
		if err != nil {
			return nil, err
		}
		return g.ServeCallers(group, callers, platform.CallerHandler(g, log), gate), nil
	})
}

func runPlatformControl(ctx context.Context, cfg *platformConfig, log *slog.Logger) error {
	n, err := readNode(cfg, log)
	if err != nil {
		return err
	}
	siteNode := *n.current.Load()
	clients := n.clients()
	deps := coordinator.Deps{Log: log, Now: time.Now, FS: storage.OS{}, Seeds: n.seeds, Decode: platform.DecodeCatalogue, Clients: clients}
	if siteNode.Cloud.Address != "" {
		deps.Cloud = platform.NewCloud(siteNode.Cloud.Address)
	}
	c, err := coordinator.New(coordinator.Config{Node: siteNode, ClusterKey: cfg.ClusterKey}, deps)
	if err != nil {
		return err
	}
	return c.Run(ctx, func(group *run.Group) error {
		daemon.Actor(group, n.watch)
		daemon.Actor(group, daemon.TuneGC)
		operators := clients.Gate("operators", operatorsFraction)
		if err := serveOperators(ctx, group, log, operators, &siteNode, platform.ControlHandler(c, log)); err != nil {
			return err
		}
		directory := clients.Gate("directory", directoryFraction)
		return serve(ctx, group, log, directory, siteNode.Listen.Directory, platform.DirectoryHandler(c))
	})
}

// heartbeatAccepts is the rate of new connections at which a replica on a small instance still
// answers every heartbeat in time. Backend servers wait for a second.
var heartbeatAccepts = daemon.AcceptRate{PerSecond: 150, Burst: 200, Backlog: 64}

// serveOperators adds the HTTP server for operators and for heartbeats of backend servers.
func serveOperators(ctx context.Context, group *run.Group, log *slog.Logger, gate *intake.Gate, n *site.Node, h http.Handler) error {
	if n.Listen.Operators == "" {
		return nil
	}
	tcp, err := daemon.ListenClients(ctx, log, gate, n.Listen.Operators)
	if err != nil {
		return err
	}
	l, err := daemon.Paced(tcp, heartbeatAccepts)
	if err != nil {
		return err
	}
	daemon.ServeIdle(group, l, h, gate, daemon.CloseGrace, heartbeatIdleTimeout(n.AnnounceInterval), log)
	return nil
}

// idleHeartbeats is the number of heartbeat intervals for which a replica keeps the
// connection of a backend server that sends none.
const idleHeartbeats = 3

// heartbeatIdleTimeout returns how long a connection for heartbeats may be idle. A server
// whose heartbeat was acknowledged late goes on at another replica; while all replicas are
// late, thousands of servers would leave behind more connections than a replica has
// descriptors, and none of them could connect any more.
func heartbeatIdleTimeout(interval time.Duration) time.Duration {
	if interval <= 0 {
		return daemon.DefaultIdleTimeout
	}
	return idleHeartbeats * interval
}

// serve adds an HTTP server on address to the group. It does nothing if address is empty.
func serve(ctx context.Context, group *run.Group, log *slog.Logger, gate *intake.Gate, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := daemon.ListenClients(ctx, log, gate, address)
	if err != nil {
		return err
	}
	daemon.Serve(group, l, h, gate, daemon.LocalGrace, log)
	return nil
}
