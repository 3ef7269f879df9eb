package e2e

import (
	"bytes"
	"cmp"
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

// waitTimeout bounds the wait for a condition. Reaching it fails the test.
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

// process is a started process of a site.
type process struct {
	name    string
	cmd     *exec.Cmd
	log     *lockedBuffer
	done    chan struct{} // closed when the process has ended; exitErr is set before
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

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// freeze sends SIGSTOP and returns once the process has stopped. The signal takes effect
// with a delay, in which a leader could still send an order that a test expects from
// its successor.
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

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill(t *testing.T) {
	t.Helper()
	_ = p.cmd.Process.Kill()
	<-p.done
}

// site is a set of processes of one test, on its own loopback address.
type site struct {
	t                *testing.T
	ip               string // shared by all processes of the site
	controlLinkAddrs []string
	operatorAddrs    []string
	processes        []*process
	dir              string

	extraControlArgs []string // further arguments of the control replicas
	extraEnv         []string // further variables of all processes
	binary           string   // of all processes; empty: binaryPath
}

var siteCount atomic.Int32

// siteSlots bounds the number of sites that run at the same time, so that CPU time does
// not dominate the tests' waits.
var siteSlots = make(chan struct{}, 4)

// newSite returns a site without processes, on an address that no other site of this
// run uses. It makes the test parallel and waits for the turns and for a slot.
func newSite(t *testing.T, turns ...chan struct{}) *site {
	t.Parallel()
	for _, slots := range append(turns, siteSlots) {
		slots <- struct{}{}
		t.Cleanup(func() { <-slots })
	}
	n := siteCount.Add(1)
	pid := os.Getpid()
	return &site{
		t: t, dir: t.TempDir(),
		ip: fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+(pid/250)%250, n),
	}
}

// start runs the binary with the given arguments until the test ends. The test fails if
// the process reports a data race; if the test fails, the end of the log is shown.
func (s *site) start(name string, args ...string) *process {
	s.t.Helper()
	p := &process{name: name, log: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(cmp.Or(s.binary, binaryPath), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Env = append(os.Environ(), "SAVORYREEL_CLUSTER_KEY="+clusterKey, "SAVORYREEL_OPERATOR_KEY="+operatorKey,
		"SAVORYREEL_ANNOUNCE_KEY="+announceKey)
	p.cmd.Env = append(p.cmd.Env, s.extraEnv...)
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

// addr returns the site's address with a port.
func (s *site) addr(port int) string { return fmt.Sprintf("%s:%d", s.ip, port) }

// startControl starts n control replicas and records their addresses for later processes.
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

// startReplica starts or restarts control replica i, counted from 1, with the initial
// members "id=address".
func (s *site) startReplica(i int, members []string) *process {
	args := []string{
		"control", "--id", fmt.Sprint(i),
		"--data", filepath.Join(s.dir, fmt.Sprintf("control-%d", i)),
		"--link-listen", s.addr(7100 + 10*i), "--operator-listen", s.addr(7101 + 10*i), "--ops-listen", s.addr(7102 + 10*i),
		"--replicas", strings.Join(members, ","),
	}
	return s.start(fmt.Sprintf("control-%d", i), append(args, s.extraControlArgs...)...)
}

// entryPort returns the caller port of entry i. Its link and ops ports follow.
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

// startEngine starts stand-in model engine i, which announces itself to entries 1 and 2.
func (s *site) startEngine(i int, zone string, extraArgs ...string) *process {
	args := []string{
		"standin", "engine", "--id", fmt.Sprintf("engine-%d", i), "--zone", zone, "--listen", s.addr(7200 + i),
		"--announce-to", s.addr(entryPort(1)) + "," + s.addr(entryPort(2)),
	}
	return s.start(fmt.Sprintf("engine-%d", i), append(args, extraArgs...)...)
}

// startPlain starts stand-in plain service i, which announces itself to entries 1 and 2.
func (s *site) startPlain(i int, zone string, extraArgs ...string) *process {
	args := []string{
		"standin", "plain", "--id", fmt.Sprintf("plain-%d", i), "--zone", zone,
		"--listen", s.addr(7300 + i), "--announce-to", s.addr(entryPort(1)) + "," + s.addr(entryPort(2)),
	}
	return s.start(fmt.Sprintf("plain-%d", i), append(args, extraArgs...)...)
}

// newOnceSite starts a control replica, two entries and a plain service whose calls take
// the given duration.
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

// newTestCatalogue returns a catalogue with two workspaces, a model service and a plain one.
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

// operatorAt returns a client of one control replica, counted from 0.
func (s *site) operatorAt(i int) *operator.Client {
	return operator.New(s.operatorAddrs[i:i+1], operatorKey)
}

// leaderIndex waits for a control leader and returns its index, counted from 0.
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

// apply replaces the catalogue, waiting for a leader if necessary, and returns the new
// version.
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

// eventually waits until check returns nil and fails the test after waitTimeout.
func (s *site) eventually(condition string, check func() error) {
	s.t.Helper()
	s.eventuallyWithin(waitTimeout, condition, check)
}

// eventuallyWithin is like eventually with another timeout.
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

// reply is the response that a caller received.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

// call sends one request to entry i and reads the whole response. The given headers
// override the default Authorization.
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

// waitUntilServing waits until entry i answers a POST to path with 200, with a new
// idempotency key for each try.
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

// plainStats returns the counts of plain service i.
func (s *site) plainStats(i int) fake.PlainStats {
	s.t.Helper()
	var v fake.PlainStats
	s.getJSON(s.addr(7300+i)+"/fake/stats", &v)
	return v
}

// engineStats returns the counts of engine i.
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

// setFaults replaces the injected faults of the stand-in server at a port.
func (s *site) setFaults(port int, f fake.Faults) {
	s.t.Helper()
	body, err := json.Marshal(f)
	require.NoError(s.t, err)
	resp, err := http.Post("http://"+s.addr(port)+"/fake/faults", "application/json", bytes.NewReader(body))
	require.NoError(s.t, err)
	_ = resp.Body.Close()
	require.Less(s.t, resp.StatusCode, 300)
}

// readAll returns the body, cut short at a read error.
func readAll(resp *http.Response) string {
	b, _ := io.ReadAll(resp.Body) // a partial body still helps in a failure message
	return string(b)
}

// maxLogTailBytes bounds what a failed test shows of each process's log.
const maxLogTailBytes = 200_000
