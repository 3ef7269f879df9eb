package main

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/settings"
)

// standInConfig holds the settings that all stand-in backend servers share.
type standInConfig struct {
	id, listen, region, zone, class string
	entries                         []string
	announceKey, logLevel           string
	notice                          time.Duration
}

func (c *standInConfig) declare(s *settings.Set, id, listen string) {
	s.String(&c.id, "id", id, "name of this backend server", settings.Required)
	s.String(&c.listen, "listen", listen, "address to serve", settings.HostPort)
	s.String(&c.region, "region", "r1", "region", settings.Required)
	s.String(&c.zone, "zone", "z1", "zone", settings.Required)
	s.String(&c.class, "machine-class", "g1", "machine class")
	s.Strings(&c.entries, "announce-to", []string{"127.0.0.1:7001"}, "caller addresses of entries to announce to", settings.HostPorts)
	s.Secret(&c.announceKey, "announce-key", "bearer key of announcements", settings.Required)
	s.Duration(&c.notice, "notice", 3*time.Second, "notice given at SIGTERM, after which it ends", settings.Between(0, time.Hour))
	s.String(&c.logLevel, "log-level", "info", "debug, info, warn or error", settings.LogLevel)
}

func (c *standInConfig) announcing() fake.Announcing {
	a := fake.Announcing{Key: c.announceKey}
	for _, addr := range c.entries {
		a.Entries = append(a.Entries, "http://"+addr)
	}
	return a
}

func newStandIn() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for a backend server, for trials and tests"}
	cmd.AddCommand(newStandInEngine(), newStandInPlain())
	return cmd
}

func newStandInEngine() *cobra.Command {
	var c standInConfig
	var model, version string
	var slots, answer, cache, prefill int
	var first, token time.Duration
	declare := func(s *settings.Set) {
		c.declare(s, "engine-1", "127.0.0.1:7201")
		s.String(&model, "model", "demo", "model that it serves", settings.Required)
		s.String(&version, "model-version", "", "version of the model")
		s.Int(&slots, "slots", 8, "requests that it runs side by side", settings.Between(1, 100_000))
		s.Int(&answer, "answer-tokens", 16, "length of an answer where the request sets no bound", settings.Between(1, 100_000))
		s.Int(&cache, "cache-tokens", 100_000, "capacity of the prefix cache in tokens", settings.Between(0, 1_000_000_000))
		s.Int(&prefill, "prefill-rate", 8000, "prompt tokens that it prefills a second; 0: no time", settings.Between(0, 1_000_000_000))
		s.Duration(&first, "first-token", 20*time.Millisecond, "time to the first token in addition to the prefill", settings.Between(0, time.Minute))
		s.Duration(&token, "token-time", 20*time.Millisecond, "time between two tokens", settings.Between(0, time.Minute))
	}
	return daemonCommand("engine", "A model engine", declare, &c.logLevel, func(ctx context.Context, log *slog.Logger) error {
		e := fake.NewEngine(fake.EngineConfig{
			ID: c.id, Region: c.region, Zone: c.zone, Class: c.class, Model: model, Version: version,
			Slots: slots, AnswerTokens: answer, CacheTokens: cache, PrefillRate: float64(prefill),
			FirstToken: first, TokenTime: token, Announcing: c.announcing(),
		}, fake.Deps{Log: log})
		return runStandIn(ctx, log, &c, e)
	})
}

func newStandInPlain() *cobra.Command {
	var c standInConfig
	var services []string
	var work time.Duration
	declare := func(s *settings.Set) {
		c.declare(s, "plain-1", "127.0.0.1:7301")
		s.Strings(&services, "services", []string{"echo"}, "services that it serves")
		s.Duration(&work, "work", 0, "time that each call takes", settings.Between(0, time.Hour))
	}
	return daemonCommand("plain", "A plain web service", declare, &c.logLevel, func(ctx context.Context, log *slog.Logger) error {
		p := fake.NewPlain(fake.PlainConfig{
			ID: c.id, Region: c.region, Zone: c.zone, Class: c.class, Services: services, Work: work, Announcing: c.announcing(),
		}, fake.Deps{Log: log})
		return runStandIn(ctx, log, &c, p)
	})
}

// standIn is a stand-in backend server. Run serves until its context ends; Leave announces
// that the server leaves after notice.
type standIn interface {
	Run(ctx context.Context, l net.Listener) error
	Leave(notice time.Duration)
}

// runStandIn runs the stand-in until SIGTERM or SIGINT. Then the stand-in announces that it
// leaves, continues to serve for the notice, and ends.
func runStandIn(ctx context.Context, log *slog.Logger, cfg *standInConfig, s standIn) error {
	if ctx == nil {
		ctx = context.Background()
	}
	l, err := daemon.Listen(ctx, log, "backend server", cfg.listen)
	if err != nil {
		return err
	}
	var g run.Group
	daemon.Actor(&g, func(c context.Context) error { return s.Run(c, l) })
	daemon.Signals(&g, func(c context.Context) {
		s.Leave(cfg.notice)
		select {
		case <-time.After(cfg.notice):
		case <-c.Done():
		}
	}, log)
	return g.Run()
}
