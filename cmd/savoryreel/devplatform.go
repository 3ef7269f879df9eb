package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/platform/standin"
)

// The protocols between a system and its callers, operators and backend servers.
const (
	dialectNative   = "native"
	dialectPlatform = "platform"
	dialectHelp     = "native: the product's own protocol; platform: that of the users' platform"
)

const (
	devIP = "127.0.0.1"
	// devFirstPort is the first port for traffic between the processes.
	devFirstPort = 7600
	// devServers is the number of stand-in backend servers.
	devServers = 2
)

func devAddress(port int) string { return net.JoinHostPort(devIP, strconv.Itoa(port)) }

// runDevPlatform runs an entry and a control replica with the platform's dialect, and
// stand-in backend servers. It stores settings files and data in dir.
func runDevPlatform(ctx context.Context, log *slog.Logger, dir string) error {
	var g run.Group
	if err := addDevNodes(&g, log, dir); err != nil {
		return err
	}
	for i := range devServers {
		s, err := standin.StartServer(standin.ServerConfig{ID: fmt.Sprintf("server-%d", i+1), Service: "web", Zone: "z1", ControlAddrs: []string{devAddress(standin.ControlPort)}})
		if err != nil {
			return err
		}
		defer s.Close()
	}
	daemon.Actor(&g, func(c context.Context) error {
		if err := startDevPlatform(c); err != nil {
			return err
		}
		fmt.Printf("savoryreel dev is up. Try, in another terminal:\n\n%s\nStop with Ctrl-C.\n",
			standin.ExampleCommands(devAddress(standin.DirectoryPort), devAddress(standin.CallerPort), devWorkspaceKey))
		<-c.Done()
		return nil
	})
	daemon.EndWith(ctx, &g)
	daemon.Signals(&g, func(context.Context) {}, log)
	return g.Run()
}

// addDevNodes adds a control replica and an entry to the group, each with its own settings
// file in dir.
func addDevNodes(g *run.Group, log *slog.Logger, dir string) error {
	nodes := []struct {
		name    string
		dataDir string
		start   func(context.Context, *platformConfig, *slog.Logger) error
	}{
		{"control", filepath.Join(dir, "control"), runPlatformControl},
		{"entry", "", runPlatformEntry},
	}
	for _, n := range nodes {
		s := standin.Settings{
			IP: devIP, Zone: "z1", Seeds: []string{devAddress(standin.ControlPort)}, FirstStart: true, DataDir: n.dataDir, PortBase: devFirstPort,
		}
		cfg := platformConfig{File: filepath.Join(dir, n.name+".settings"), ClusterKey: devClusterKey}
		if err := os.WriteFile(cfg.File, []byte(s.File()), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
		daemon.Actor(g, func(c context.Context) error { return n.start(c, &cfg, log.With("process", n.name)) })
	}
	return nil
}

// startDevPlatform sends the catalogue and waits until a request is answered. It fails after
// devStartTimeout.
func startDevPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	catalogue := standin.Catalogue{Revision: 1, Service: "web", Keys: []string{devWorkspaceKey}}
	err := retryUntilDone(ctx, func() error { return standin.ReplaceCatalogue(ctx, devAddress(standin.ControlPort), catalogue) })
	if err != nil {
		return trace.Wrap(err, "step=send the catalogue")
	}
	err = retryUntilDone(ctx, func() error {
		a, err := standin.Call(ctx, devAddress(standin.CallerPort), devWorkspaceKey, "/get/ready", "")
		if err == nil && a.Status/100 != 2 {
			err = trace.ConnectionProblem(nil, "status %d", a.Status)
		}
		return err
	})
	return trace.Wrap(err, "step=wait for a first answer")
}
