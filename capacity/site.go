package capacity

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/entry"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/operator"
	"savoryreel.example/savoryreel/settings"
)

// Keys of the measured sites, which listen on loopback addresses only.
const (
	clusterKey   = "capacity-cluster"
	operatorKey  = "capacity-operator"
	announceKey  = "capacity-announce"
	workspaceKey = "capacity-workspace"
)

const (
	model         = "demo"
	startTimeout  = 60 * time.Second
	retryInterval = 20 * time.Millisecond
	maxEntries    = 370 // entries that share the limits, at the size the system is designed for
	engineSlots   = 4096
)

// site runs control replicas, entries and engines in this process. sendChat and
// streamChat may be called concurrently.
type site struct {
	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	folder           string
	log              *slog.Logger
	controlAddresses []string // link addresses
	controlOps       []string // operations addresses of the control replicas
	operatorClient   *operator.Client
	entries          []entryAddresses
	engineAddress    string // address of the engine started last
	engineCount      int
	pool             *link.Pool
	traffic          *link.Traffic // of pool
	controlClient    *api.Client
	catalogueVersion uint64

	requestCount atomic.Int64 // makes each request's prompt unique
}

// entryAddresses holds the addresses at which an entry listens for callers, for
// links and for operations.
type entryAddresses struct{ callers, link, ops string }

// newSite starts control replicas, waits until they have a leader and applies
// baseCatalogue. The caller must close the site.
func newSite(ctx context.Context, replicas int, log *slog.Logger) (*site, error) {
	folder, err := os.MkdirTemp("", "savoryreel-capacity-")
	if err != nil {
		return nil, trace.Wrap(err, "step=make folder")
	}
	s := &site{folder: folder, log: log, traffic: link.NewTraffic(nil)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if err := s.startControl(replicas); err != nil {
		s.close()
		return nil, err
	}
	s.pool = link.NewPool(link.PoolConfig{Self: link.PeerInfo{ID: "capacity", Incarnation: 1, Role: "entry"}, ClusterKey: []byte(clusterKey)},
		link.PoolDeps{Log: log, Traffic: s.traffic})
	s.controlClient = api.NewClient(s.pool, s.controlAddresses, "capacity")
	return s, s.applyCatalogue(baseCatalogue())
}

// close stops every daemon of the site, waits for them and removes their files.
func (s *site) close() {
	s.cancel()
	s.wg.Wait()
	if s.pool != nil {
		s.pool.Close()
	}
	_ = os.RemoveAll(s.folder) // a leftover temporary folder does no harm
}

// runDaemon runs f in a goroutine until the site is closed.
func (s *site) runDaemon(name string, f func(context.Context) error) {
	s.wg.Go(func() {
		if err := f(s.ctx); err != nil && s.ctx.Err() == nil {
			s.log.Error("daemon failed", "name", name, "error", err)
		}
	})
}

// startControl configures and starts the control replicas. It does not wait for
// a leader.
func (s *site) startControl(replicas int) error {
	var replicaList, operatorAddresses []string
	addresses, err := freeAddresses(3 * replicas)
	if err != nil {
		return err
	}
	for i := range replicas {
		a := addresses[3*i:]
		s.controlAddresses, operatorAddresses, s.controlOps = append(s.controlAddresses, a[0]), append(operatorAddresses, a[1]), append(s.controlOps, a[2])
		replicaList = append(replicaList, fmt.Sprintf("%d=%s", i+1, a[0]))
	}
	s.operatorClient = operator.New(operatorAddresses, operatorKey)
	for i := range replicas {
		cfg := control.Config{}
		err := configure(cfg.Declare, map[string]string{
			"id": strconv.Itoa(i + 1), "data": filepath.Join(s.folder, strconv.Itoa(i+1)), "replicas": strings.Join(replicaList, ","),
			"link-listen": s.controlAddresses[i], "operator-listen": operatorAddresses[i], "ops-listen": s.controlOps[i],
			"cluster-key": clusterKey, "operator-key": operatorKey, "max-entries": strconv.Itoa(maxEntries),
		})
		if err != nil {
			return err
		}
		c, err := control.New(cfg, control.Deps{Log: s.log, Now: time.Now})
		if err != nil {
			return err
		}
		s.runDaemon("control", c.Run)
	}
	return nil
}

// startEntries starts n more entries, spread over five zones in two regions.
// The first entry of the site is the contact point of all others.
func (s *site) startEntries(n int) error {
	addresses, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		a := addresses[3*i:]
		s.entries = append(s.entries, entryAddresses{callers: a[0], link: a[1], ops: a[2]})
	}
	for i := len(s.entries) - n; i < len(s.entries); i++ {
		a := s.entries[i]
		zone := i % 5
		cfg := entry.Config{}
		err := configure(cfg.Declare, map[string]string{
			"id": fmt.Sprintf("entry-%d", i+1), "region": fmt.Sprintf("r%d", 1+zone/3), "zone": fmt.Sprintf("z%d", zone+1),
			"listen": a.callers, "link-listen": a.link, "ops-listen": a.ops, "control": strings.Join(s.controlAddresses, ","),
			"entries": s.entries[0].link, "cluster-key": clusterKey, "announce-key": announceKey,
			"drain-timeout": "1s", "capacity": "100000",
		})
		if err != nil {
			return err
		}
		e, err := entry.New(cfg, entry.Deps{Log: s.log, Now: time.Now})
		if err != nil {
			return err
		}
		s.runDaemon("entry", e.Run)
	}
	return nil
}

// startEngine starts a stand-in engine that announces itself to the first entry
// and produces one token every tokenTime.
func (s *site) startEngine(tokenTime time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err, "step=listen")
	}
	s.engineAddress = l.Addr().String()
	s.engineCount++
	e := fake.NewEngine(fake.EngineConfig{
		ID: fmt.Sprintf("engine-%d", s.engineCount), Region: "r1", Zone: "z1", Class: "g1", Model: model, Slots: engineSlots, MaxWaiting: engineSlots,
		TokenTime:  tokenTime,
		Announcing: fake.Announcing{Entries: []string{"http://" + s.entries[0].callers}, Key: announceKey},
	}, fake.Deps{Log: s.log})
	s.runDaemon("engine", func(ctx context.Context) error { return e.Run(ctx, l) })
	return nil
}

// applyCatalogue replaces the catalogue and sets catalogueVersion. It retries
// until there is a leader.
func (s *site) applyCatalogue(c contract.Catalogue) error {
	doc, err := contract.Format(c)
	if err != nil {
		return err
	}
	return s.eventually("apply catalogue", func() error {
		current, err := s.operatorClient.Catalogue(s.ctx)
		if err != nil {
			return err
		}
		r, err := s.operatorClient.Apply(s.ctx, doc, current.Version)
		s.catalogueVersion = r.Version
		return err
	})
}

// eventually repeats attempt until it succeeds, and returns the last error once
// startTimeout has passed or the site is closed.
func (s *site) eventually(step string, attempt func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil || time.Now().After(deadline) {
			return trace.Wrap(err, "step=%s", step)
		}
		<-time.After(retryInterval)
	}
}

// linkTraffic counts the messages and bytes of one method that a process has
// sent and received over links.
type linkTraffic struct{ messages, bytes float64 }

func (t linkTraffic) since(before linkTraffic) linkTraffic {
	return linkTraffic{messages: t.messages - before.messages, bytes: t.bytes - before.bytes}
}

// scrapeLinkTraffic reads a daemon's traffic by method from the metrics at its
// operations address.
func (s *site) scrapeLinkTraffic(ops string) (map[string]linkTraffic, error) {
	resp, err := http.Get("http://" + ops + "/metrics")
	if err != nil {
		return nil, trace.Wrap(err, "step=read metrics peer=%s", ops)
	}
	defer resp.Body.Close()
	byMethod := map[string]linkTraffic{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		rest, found := strings.CutPrefix(lines.Text(), "savoryreel_link_")
		metric, rest, _ := strings.Cut(rest, `_total{method="`)
		method, rest, _ := strings.Cut(rest, `"`)
		_, value, _ := strings.Cut(rest, "} ")
		n, err := strconv.ParseFloat(value, 64)
		if !found || err != nil {
			continue
		}
		t := byMethod[method]
		switch metric {
		case "messages":
			t.messages += n
		case "bytes":
			t.bytes += n
		}
		byMethod[method] = t
	}
	return byMethod, trace.Wrap(lines.Err(), "step=read metrics peer=%s", ops)
}

// baseCatalogue returns a catalogue with one workspace without limits and one
// model service.
func baseCatalogue() contract.Catalogue {
	return contract.Catalogue{
		Workspaces: []contract.Workspace{{
			Name: "capacity", Owner: "capacity@example.com", Class: contract.ClassInteractive, Weight: 1,
			Keys: []contract.KeyHash{contract.HashKey(workspaceKey)},
		}},
		Services: []contract.Service{{Name: "chat", Owner: "capacity@example.com", Kind: contract.KindModel, Model: model}},
	}
}

// limitedCatalogue returns baseCatalogue with n more workspaces, each with all
// three limits.
func limitedCatalogue(n int) contract.Catalogue {
	c := baseCatalogue()
	for i := range n {
		c.Workspaces = append(c.Workspaces, testWorkspace(i))
	}
	return c
}

// testWorkspace returns workspace i, whose limits no measurement reaches.
func testWorkspace(i int) contract.Workspace {
	name := fmt.Sprintf("workspace-%04d", i)
	return contract.Workspace{
		Name: name, Owner: name + "@example.com", Class: contract.ClassStandard, Weight: 1 + i%10,
		Limits: contract.Limits{RequestsPerSecond: 100_000, Concurrency: 100_000, TokensPerSecond: 10_000_000},
		Keys:   []contract.KeyHash{contract.HashKey(name)},
	}
}

// configure loads a daemon's default settings with overrides, which are keyed by
// flag name.
func configure(declare func(*settings.Set), overrides map[string]string) error {
	flags := (&cobra.Command{}).Flags()
	set := settings.New(flags)
	declare(set)
	for name, value := range overrides {
		if err := flags.Set(name, value); err != nil {
			return trace.Wrap(err, "step=set %s", name)
		}
	}
	return set.Load()
}

// freeAddresses returns n unused loopback addresses. Another process may take one
// before the caller listens on it.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.Wrap(err, "step=find a free address")
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
