package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/operator"
)

// Keys of the test sites.
const (
	workspaceKey = "brokers-key"
	quietKey     = "quiet-key"
	operatorKey  = "operator-key"
	announceKey  = "announce-key"
	clusterKey   = "cluster-key"
)

// bound is how long a test waits for a condition. It only ends tests that have
// failed; no test passes by waiting so long.
const waitTimeout = 30 * time.Second

var binaryPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "savoryreel-e2e-")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "savoryreel")
	build := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", binaryPath, "../cmd/savoryreel")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running process of a site.
type process struct {
	name    string
	cmd     *exec.Cmd
	log     *lockedBuffer
	done    chan struct{} // closed when it has ended
	exitErr error
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// freeze stops the process and returns once it has stopped. The signal alone
// takes its time: a leader that runs on for some milliseconds still gives the
// order that the test wants its successor to give.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	stat := fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)
	for deadline := time.Now().Add(waitTimeout); ; {
		text, err := os.ReadFile(stat)
		require.NoError(t, err)
		_, state, found := strings.Cut(string(text), ") ")
		if found && strings.HasPrefix(state, "T") {
			return
		}
		require.True(t, time.Now().Before(deadline), "the process has not stopped: %s", text)
		<-time.After(time.Millisecond)
	}
}

// kill ends the process without a word and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	_ = p.cmd.Process.Kill()
	<-p.done
}

// site is a set of processes on loopback addresses of its own.
type site struct {
	t                *testing.T
	ip               string // of this site; all processes share it
	controlLinkAddrs []string
	operatorAddrs    []string
	processes        []*process
	dir              string

	extraControlArgs []string // more settings of the control replicas
}

var siteCount atomic.Int32

// turn bounds the sites that run at once. Their processes mostly wait; more of
// them would make the machine the slowest part of each test.
var siteSlots = make(chan struct{}, 4)

// newSite returns a site without processes, on an address that no other site of
// this run uses.
func newSite(t *testing.T) *site {
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	n := siteCount.Add(1)
	pid := os.Getpid()
	return &site{
		t: t, dir: t.TempDir(),
		ip: fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+(pid/250)%250, n),
	}
}

// start runs the binary with a subcommand and settings.
func (s *site) start(name string, args ...string) *process {
	s.t.Helper()
	p := &process{name: name, log: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(binaryPath, args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Env = append(os.Environ(), "SAVORYREEL_CLUSTER_KEY="+clusterKey, "SAVORYREEL_OPERATOR_KEY="+operatorKey,
		"SAVORYREEL_ANNOUNCE_KEY="+announceKey)
	require.NoError(s.t, p.cmd.Start())
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.done)
	}()
	s.processes = append(s.processes, p)
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if strings.Contains(p.log.String(), "WARNING: DATA RACE") {
			s.t.Errorf("data race in %s", name)
		}
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, tail(p.log.String(), maxLogTailBytes))
		}
	})
	return p
}

func tail(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return "..." + s[len(s)-n:]
}

// addr is an address of this site.
func (s *site) addr(port int) string { return fmt.Sprintf("%s:%d", s.ip, port) }

// startControl starts n control replicas.
func (s *site) startControl(n int) []*process {
	var members []string
	for i := 1; i <= n; i++ {
		members = append(members, fmt.Sprintf("%d=%s", i, s.addr(7100+10*i)))
		s.controlLinkAddrs = append(s.controlLinkAddrs, s.addr(7100+10*i))
		s.operatorAddrs = append(s.operatorAddrs, s.addr(7101+10*i))
	}
	var out []*process
	for i := 1; i <= n; i++ {
		out = append(out, s.startReplica(i, members))
	}
	return out
}

// startReplica starts, or starts again, control replica i.
func (s *site) startReplica(i int, members []string) *process {
	args := []string{
		"control", "--id", fmt.Sprint(i),
		"--data", filepath.Join(s.dir, fmt.Sprintf("control-%d", i)),
		"--link-listen", s.addr(7100 + 10*i), "--operator-listen", s.addr(7101 + 10*i), "--ops-listen", s.addr(7102 + 10*i),
		"--replicas", strings.Join(members, ","),
	}
	return s.start(fmt.Sprintf("control-%d", i), append(args, s.extraControlArgs...)...)
}

// entryPort is the caller port of entry i.
func entryPort(i int) int { return 7000 + 10*i }

// startEntry starts entry i in a zone.
func (s *site) startEntry(i int, zone string, extraArgs ...string) *process {
	args := []string{
		"entry", "--id", fmt.Sprintf("entry-%d", i), "--zone", zone,
		"--listen", s.addr(entryPort(i)), "--link-listen", s.addr(entryPort(i) + 1), "--ops-listen", s.addr(entryPort(i) + 2),
		"--control", strings.Join(s.controlLinkAddrs, ","), "--entries", s.addr(entryPort(1) + 1),
		"--list-validity", "1s", "--drain-timeout", "18s",
	}
	return s.start(fmt.Sprintf("entry-%d", i), append(args, extraArgs...)...)
}

// startEngine starts stand-in model engine i, announcing to entries 1 and 2.
func (s *site) startEngine(i int, zone string, extraArgs ...string) *process {
	args := []string{
		"standin", "engine", "--id", fmt.Sprintf("engine-%d", i), "--zone", zone, "--listen", s.addr(7200 + i),
		"--announce-to", s.addr(entryPort(1)) + "," + s.addr(entryPort(2)),
	}
	return s.start(fmt.Sprintf("engine-%d", i), append(args, extraArgs...)...)
}

// startPlain starts stand-in plain service i.
func (s *site) startPlain(i int, zone string, extraArgs ...string) *process {
	args := []string{
		"standin", "plain", "--id", fmt.Sprintf("plain-%d", i), "--zone", zone,
		"--listen", s.addr(7300 + i), "--announce-to", s.addr(entryPort(1)) + "," + s.addr(entryPort(2)),
	}
	return s.start(fmt.Sprintf("plain-%d", i), append(args, extraArgs...)...)
}

// onceSite is a site with two entries and a plain service whose calls take a
// while.
func newOnceSite(t *testing.T, duration time.Duration) *site {
	s := newSite(t)
	s.startControl(1)
	s.startEntry(1, "z1")
	s.startEntry(2, "z2")
	s.startPlain(1, "z1", "--work", duration.String())
	s.apply(newTestCatalogue())
	for i := 1; i <= 2; i++ {
		s.waitUntilServing(i, "/svc/echo/ready", "x")
	}
	return s
}

// testCatalogue has two workspaces, a model service and a plain one.
func newTestCatalogue() contract.Catalogue {
	return contract.Catalogue{
		Workspaces: []contract.Workspace{
			{Name: "brokers", Owner: "ana", Class: contract.ClassInteractive, Weight: 1, Keys: []contract.KeyHash{contract.HashKey(workspaceKey)}},
			{Name: "quiet", Owner: "ivo", Class: contract.ClassStandard, Weight: 1, Keys: []contract.KeyHash{contract.HashKey(quietKey)}},
		},
		Services: []contract.Service{
			{Name: "chat", Owner: "ana", Kind: contract.KindModel, Model: "demo"},
			{Name: "echo", Owner: "ana", Kind: contract.KindPlain},
		},
	}
}

func (s *site) operator() *operator.Client { return operator.New(s.operatorAddrs, operatorKey) }

// operatorAt is a client of one control replica, counted from 0.
func (s *site) operatorAt(i int) *operator.Client {
	return operator.New(s.operatorAddrs[i:i+1], operatorKey)
}

// leader waits for a control leader and returns its place, counted from 0.
func (s *site) leaderIndex() int {
	s.t.Helper()
	leader := -1
	s.eventually("there is a leader", func() error {
		for i, r := range s.operator().Replicas(s.t.Context()) {
			if r.Role == "leader" {
				leader = i
				return nil
			}
		}
		return fmt.Errorf("no leader")
	})
	return leader
}

// apply puts a catalogue in force, waiting for a leader if there is none yet.
func (s *site) apply(c contract.Catalogue) uint64 {
	s.t.Helper()
	doc, err := contract.Format(c)
	require.NoError(s.t, err)
	var version uint64
	s.eventually("the catalogue is applied", func() error {
		current, err := s.operator().Catalogue(s.t.Context())
		if err != nil {
			return err
		}
		r, err := s.operator().Apply(s.t.Context(), doc, current.Version)
		version = r.Version
		return err
	})
	return version
}

// eventually waits until check returns nil.
func (s *site) eventually(condition string, check func() error) {
	s.t.Helper()
	s.eventuallyWithin(waitTimeout, condition, check)
}

func (s *site) eventuallyWithin(timeout time.Duration, condition string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			require.NoError(s.t, err, condition)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

// call sends one request to entry i and reads the whole answer.
func (s *site) call(ctx context.Context, i int, method, path, body string, header map[string]string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.addr(entryPort(i))+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(b)}, err
}

// ready waits until entry i answers a request of a path with 200.
func (s *site) waitUntilServing(i int, path, body string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("entry %d serves %s", i, path), func() error {
		r, err := s.call(s.t.Context(), i, "POST", path, body, map[string]string{"Idempotency-Key": fmt.Sprint("ready-", i, time.Now().UnixNano())})
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
}

// plainStats asks plain service i what it ran.
func (s *site) plainStats(i int) fake.PlainStats {
	s.t.Helper()
	var v fake.PlainStats
	s.getJSON(s.addr(7300+i)+"/fake/stats", &v)
	return v
}

// engineStats asks engine i what it ran.
func (s *site) engineStats(i int) fake.EngineStats {
	s.t.Helper()
	var v fake.EngineStats
	s.getJSON(s.addr(7200+i)+"/fake/stats", &v)
	return v
}

func (s *site) getJSON(url string, into any) {
	s.t.Helper()
	resp, err := http.Get("http://" + url)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(into))
}

// setFaults sets the faults of the stand-in at a port.
func (s *site) setFaults(port int, f fake.Faults) {
	s.t.Helper()
	body, err := json.Marshal(f)
	require.NoError(s.t, err)
	resp, err := http.Post("http://"+s.addr(port)+"/fake/faults", "application/json", bytes.NewReader(body))
	require.NoError(s.t, err)
	_ = resp.Body.Close()
	require.Less(s.t, resp.StatusCode, 300)
}

// readAll reads a whole body, or what came of it.
func readAll(resp *http.Response) string {
	b, _ := io.ReadAll(resp.Body) // a part is shown in the failing test's message
	return string(b)
}

// logTail is how much of each process's log a failed test shows, in bytes.
const maxLogTailBytes = 200_000
