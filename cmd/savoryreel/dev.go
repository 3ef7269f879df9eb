package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control"
	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/entry"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/operator"
	"savoryreel.example/savoryreel/settings"
)

// Keys, addresses and start times of the dev command. The keys need not be secret, because
// dev listens on loopback addresses only.
const (
	devWorkspaceKey = "dev-key"
	devOperatorKey  = "dev-operator"
	devAnnounceKey  = "dev-announce"
	devClusterKey   = "dev-cluster"
	devCallers      = "127.0.0.1:7001"
	devOperators    = "127.0.0.1:7102"
	devEngine       = "127.0.0.1:7201"
	devPlain        = "127.0.0.1:7301"
	devStartTimeout = 20 * time.Second
	devRetryDelay   = 100 * time.Millisecond
)

// devCatalogue returns the catalogue that dev applies.
func devCatalogue() contract.Catalogue {
	return contract.Catalogue{
		Workspaces: []contract.Workspace{{
			Name: "dev", Owner: "dev@example.com", Class: contract.ClassInteractive, Weight: 1,
			Keys: []contract.KeyHash{contract.HashKey(devWorkspaceKey)},
		}},
		Services: []contract.Service{
			{Name: "chat", Owner: "dev@example.com", Kind: contract.KindModel, Model: "demo"},
			{Name: "echo", Owner: "dev@example.com", Kind: contract.KindPlain},
		},
	}
}

func newDev() *cobra.Command {
	var level, dialect string
	declare := func(s *settings.Set) {
		s.String(&dialect, "dialect", dialectNative, dialectHelp, oneOf(dialectNative, dialectPlatform))
		s.String(&level, "log-level", "warn", "debug, info, warn or error", settings.LogLevel)
	}
	return daemonCommand("dev", "Run a whole system with stand-in backend servers in one process", declare, &level, func(ctx context.Context, log *slog.Logger) error {
		run := runDev
		if dialect == dialectPlatform {
			run = runDevPlatform
		}
		return withTempDir(ctx, func(ctx context.Context, dir string) error { return run(ctx, log, dir) })
	})
}

// withTempDir calls start with a temporary directory and removes it afterwards. A nil ctx
// stands for the background context.
func withTempDir(ctx context.Context, start func(ctx context.Context, dir string) error) error {
	if ctx == nil {
		ctx = context.Background()
	}
	dir, err := os.MkdirTemp("", "savoryreel-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return start(ctx, dir)
}

// runDev runs a system with the native dialect and its stand-in backend servers. It stores
// data in dir.
func runDev(ctx context.Context, log *slog.Logger, dir string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	if err := addDevDaemons(ctx, &g, log, dir); err != nil {
		return err
	}
	if err := addDevStandIns(ctx, &g, log); err != nil {
		return err
	}
	daemon.Actor(&g, func(c context.Context) error {
		if err := applyDevCatalogue(c); err != nil {
			return err
		}
		printDevUsage()
		<-c.Done()
		return nil
	})
	daemon.Signals(&g, func(context.Context) {}, log)
	return g.Run()
}

// addDevDaemons adds a control replica and an entry to the group.
func addDevDaemons(ctx context.Context, g *run.Group, log *slog.Logger, dir string) error {
	c := control.Config{}
	if err := devDefaults(c.Declare, map[string]string{
		"cluster-key": devClusterKey, "operator-key": devOperatorKey, "data": filepath.Join(dir, "control-1"),
	}); err != nil {
		return err
	}
	replica, err := control.New(c, control.Deps{Log: log, Now: time.Now})
	if err != nil {
		return err
	}
	e := entry.Config{}
	if err := devDefaults(e.Declare, map[string]string{
		"cluster-key": devClusterKey, "announce-key": devAnnounceKey, "list-validity": "1s", "drain-timeout": "3s",
	}); err != nil {
		return err
	}
	entryDaemon, err := entry.New(e, entry.Deps{Log: log, Now: time.Now})
	if err != nil {
		return err
	}
	daemon.Actor(g, replica.Run)
	daemon.Actor(g, entryDaemon.Run)
	return nil
}

// devDefaults loads the settings that declare declares from these flag values, the
// environment and the defaults.
func devDefaults(declare func(*settings.Set), overrides map[string]string) error {
	flags := (&cobra.Command{}).Flags()
	set := settings.New(flags)
	declare(set)
	for name, value := range overrides {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	return set.Load()
}

// addDevStandIns adds a model engine and a plain web service to the group.
func addDevStandIns(ctx context.Context, g *run.Group, log *slog.Logger) error {
	announcing := fake.Announcing{Entries: []string{"http://" + devCallers}, Key: devAnnounceKey}
	engine := fake.NewEngine(fake.EngineConfig{
		ID: "engine-1", Region: "r1", Zone: "z1", Class: "g1", Model: "demo", CacheTokens: 100_000, AnswerTokens: 24,
		FirstToken: 50 * time.Millisecond, TokenTime: 30 * time.Millisecond, Announcing: announcing,
	}, fake.Deps{Log: log})
	plain := fake.NewPlain(fake.PlainConfig{
		ID: "plain-1", Region: "r1", Zone: "z1", Class: "c1", Services: []string{"echo"}, Announcing: announcing,
	}, fake.Deps{Log: log})
	for address, s := range map[string]standIn{devEngine: engine, devPlain: plain} {
		l, err := daemon.Listen(ctx, log, "backend server", address)
		if err != nil {
			return err
		}
		daemon.Actor(g, func(c context.Context) error { return s.Run(c, l) })
	}
	return nil
}

// applyDevCatalogue applies devCatalogue, and retries until the control replica is ready or
// devStartTimeout has passed.
func applyDevCatalogue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	doc, err := contract.Format(devCatalogue())
	if err != nil {
		return err
	}
	c := operator.New([]string{devOperators}, devOperatorKey)
	return retryUntilDone(ctx, func() error {
		_, err := c.Apply(ctx, doc, 0)
		return err
	})
}

// retryUntilDone calls step until it succeeds. If ctx ends before, it returns the last error
// of step.
func retryUntilDone(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devRetryDelay):
		}
	}
}

func printDevUsage() {
	fmt.Printf(`savoryreel dev is up. Try, in another terminal:

  curl -s http://%[1]s/v1/entries
  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"chat","messages":[{"role":"user","content":"Good morning"}]}'
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"chat","stream":true,"messages":[{"role":"user","content":"Good morning"}]}'
  curl -s http://%[1]s/svc/echo/credits -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: k1' -d '{"amount":1}'

Operators' key: %[3]s (SAVORYREEL_OPERATOR_KEY); stop with Ctrl-C.
`, devCallers, devWorkspaceKey, devOperatorKey)
}
