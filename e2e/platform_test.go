package e2e

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/load"
	"savoryreel.example/savoryreel/platform"
	"savoryreel.example/savoryreel/platform/standin"
)

const (
	platformKey = "key-1"
	// platformPort is the first port for traffic between processes. Each process has its
	// own IP address, so all of them use the same ports.
	platformPort = 7600
)

// platformSite runs the control replicas and entries with the settings of the users'
// platform, and stand-ins for the cloud, the backend servers and the callers.
type platformSite struct {
	*site
	subnet   string // first three octets of the processes' addresses
	controls []*process
	entries  []*process
	cloud    *standin.Cloud
	servers  []*standin.Server

	retryWindow time.Duration // of the settings; 0: the default
	retrySlack  int           // of the settings; 0: the default

	heartbeatInterval time.Duration // of backend servers, in the settings; 0: the default
	drain             time.Duration // of the settings; 0: the default

	rollouts bool // the settings have the bounds of rollouts

	memoryMB, descriptors int // of each process, in the settings; 0: not stated

	zoneOfEntry func(i int) string // nil: z1
}

func newPlatformSite(t *testing.T, controls, entries, servers int) *platformSite {
	p := startPlatformSite(t, controls, entries, func(*platformSite) {})
	p.startServers(servers)
	p.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range entries {
		p.eventually(func() bool { return standin.Ready(p.ctx(), p.addrOf(entryOctet(i), standin.ReadinessPort)) }, "entry is ready")
		p.awaitServing(i, "/get/x")
	}
	return p
}

// startServers starts n backend servers of the service web.
func (p *platformSite) startServers(n int) {
	p.t.Helper()
	for i := range n {
		s, err := standin.StartServer(standin.ServerConfig{
			ID: fmt.Sprintf("s%d", i), Service: "web", Zone: "z1", ControlAddrs: p.controlAddrs(),
			Listener: newTimedListener, ArrivedAt: kernelArrival, OnPanic: p.failOnPanic,
		})
		require.NoError(p.t, err)
		p.t.Cleanup(s.Close)
		p.servers = append(p.servers, s)
	}
}

// failOnPanic fails the test for a handler of a backend server that panicked.
func (p *platformSite) failOnPanic(cause any) {
	p.t.Errorf("a handler of a backend server panicked: %v", cause)
}

// awaitServing waits until entry i answers requests for path.
func (p *platformSite) awaitServing(i int, path string) {
	p.t.Helper()
	p.eventually(func() bool {
		a, err := standin.Call(p.ctx(), p.entryAddr(i), platformKey, path, "")
		return err == nil && a.Status == 200
	}, "entry serves")
}

// startPlatformSite starts the processes of a site with the settings that configure changes,
// and no backend servers.
func startPlatformSite(t *testing.T, controls, entries int, configure func(*platformSite), turns ...chan struct{}) *platformSite {
	p := &platformSite{site: newSite(t, turns...)}
	configure(p)
	parts := strings.Split(p.ip, ".")
	// The last octet of a site's address is unique in this run. Used as the third octet, it
	// leaves the last one for the site's processes.
	p.subnet = fmt.Sprintf("127.%s.%s", parts[1], parts[3])
	cloud, err := standin.StartCloud()
	require.NoError(t, err)
	p.cloud = cloud
	t.Cleanup(p.cloud.Close)
	for i := range controls {
		p.controls = append(p.controls, p.startPlatformControl(i, true))
	}
	for i := range entries {
		p.entries = append(p.entries, p.startPlatformEntry(i))
	}
	return p
}

func (p *platformSite) ctx() context.Context { return p.t.Context() }

func controlOctet(i int) int { return 1 + i }
func entryOctet(i int) int   { return 101 + i }

func (p *platformSite) host(n int) string { return fmt.Sprintf("%s.%d", p.subnet, n) }

func (p *platformSite) addrOf(host, port int) string { return fmt.Sprintf("%s:%d", p.host(host), port) }

func (p *platformSite) entryAddr(i int) string { return p.addrOf(entryOctet(i), standin.CallerPort) }

func (p *platformSite) controlAddrs() []string {
	var out []string
	for i := range 3 {
		out = append(out, p.addrOf(controlOctet(i), standin.ControlPort))
	}
	return out
}

func (p *platformSite) eventually(check func() bool, condition string) {
	p.t.Helper()
	require.Eventually(p.t, check, waitTimeout, 20*time.Millisecond, condition)
}

// startPlatform starts a process of a role with a settings file in the platform's format.
func (p *platformSite) startPlatform(role string, s standin.Settings) *process {
	s.Seeds, s.Cloud, s.PortBase = p.controlAddrs(), p.cloud.Address(), platformPort
	s.Zone = cmp.Or(s.Zone, "z1")
	s.RetryWindow, s.RetrySlack = p.retryWindow, p.retrySlack
	s.HeartbeatInterval, s.Drain, s.Rollouts = p.heartbeatInterval, p.drain, p.rollouts
	s.MemoryMB, s.Descriptors = p.memoryMB, p.descriptors
	file := filepath.Join(p.dir, "settings-"+s.IP)
	require.NoError(p.t, os.WriteFile(file, []byte(s.File()), 0o600))
	return p.start(role+"-"+s.IP, "platform", role, "--settings-file", file)
}

func (p *platformSite) startPlatformControl(i int, firstStart bool) *process {
	ip := p.host(controlOctet(i))
	return p.startPlatform("control", standin.Settings{IP: ip, FirstStart: firstStart, DataDir: filepath.Join(p.dir, ip)})
}

func (p *platformSite) startPlatformEntry(i int) *process {
	s := standin.Settings{IP: p.host(entryOctet(i))}
	if p.zoneOfEntry != nil {
		s.Zone = p.zoneOfEntry(i)
	}
	return p.startPlatform("entry", s)
}

// replaceCatalogue replaces the catalogue through control replica i and waits until the
// replica acknowledges it.
func (p *platformSite) replaceCatalogue(i int, c standin.Catalogue) {
	p.t.Helper()
	p.eventually(func() bool { return standin.ReplaceCatalogue(p.ctx(), p.controlAddrs()[i], c) == nil }, "catalogue is acknowledged")
}

func (p *platformSite) runs() (runs []standin.Run) {
	for _, s := range p.servers {
		runs = append(runs, s.Runs()...)
	}
	return runs
}

// Guards against a break anywhere between caller and backend server on the users'
// platform: the list of entries, whole and streamed answers, 401 for an unknown key, 404
// for an unknown path. Servers must receive the workspace's name and never the key.
func TestPlatformWholePath(t *testing.T) {
	p := newPlatformSite(t, 3, 2, 2)
	p.eventually(func() bool {
		list, err := standin.Entries(p.ctx(), p.addrOf(controlOctet(1), standin.DirectoryPort))
		return err == nil && len(list) == 2
	}, "both entries are listed")
	for i := range 10 {
		body := fmt.Sprintf("body %d", i)
		a, err := standin.Call(p.ctx(), p.entryAddr(i%2), platformKey, "/web/x", body)
		require.NoError(t, err)
		require.Equal(t, standin.Answer{ID: a.ID, Status: 200, Signed: true, Body: body, Complete: true}, a)
	}
	a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/chat/stream/20", "")
	require.NoError(t, err)
	require.True(t, a.Complete && strings.HasSuffix(a.Body, "id: 20\ndata: event 20\n\n"))
	a, err = standin.Call(p.ctx(), p.entryAddr(0), "unknown", "/web/x", "")
	require.NoError(t, err)
	require.Equal(t, 401, a.Status)
	a, err = standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/none/x", "")
	require.NoError(t, err)
	require.Equal(t, 404, a.Status)
	for _, r := range p.runs() {
		require.Equal(t, "w1", r.Workspace)
		require.Empty(t, r.Key)
	}
}

// Guards against lost or late changes when a control replica crashes and restarts:
// every entry applies each acknowledged change within two seconds, and a control
// replica returns the last revision.
func TestPlatformChangesWhileALeaderIsKilled(t *testing.T) {
	p := newPlatformSite(t, 3, 2, 1)
	for revision := uint64(2); revision <= 6; revision++ {
		if revision == 3 {
			p.controls[0].kill(t)
		}
		if revision == 5 {
			p.controls[0] = p.startPlatformControl(0, false)
		}
		extra := fmt.Sprintf("/extra-%d/", revision)
		p.replaceCatalogue(1, standin.Catalogue{Revision: revision, Service: "web", Keys: []string{platformKey}, ExtraPrefix: extra})
		acknowledged := time.Now()
		for i := range 2 {
			p.eventually(func() bool {
				a, err := standin.Call(p.ctx(), p.entryAddr(i), platformKey, extra+"x", "")
				return err == nil && a.Status == 200
			}, "the new route is served")
		}
		require.Less(t, time.Since(acknowledged), 2*time.Second, "applied by every entry")
	}
	p.eventually(func() bool {
		revision, err := standin.Revision(p.ctx(), p.controlAddrs()[2])
		return err == nil && revision == 6
	}, "the last revision is returned")
}

// Guards against a request cut off when an entry gets SIGTERM: the running request is
// answered, the entry is no longer listed, and the process ends within its grace
// period.
func TestPlatformEntryStops(t *testing.T) {
	p := newPlatformSite(t, 3, 2, 1)
	done := make(chan standin.Answer, 1)
	go func() {
		a, _ := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/web/slow/1500", "slow")
		done <- a
	}()
	p.eventually(func() bool {
		return slices.ContainsFunc(p.runs(), func(r standin.Run) bool { return strings.Contains(r.Path, "slow") })
	}, "the request runs")
	p.entries[0].signal(t, syscall.SIGTERM)
	p.eventually(func() bool {
		list, err := standin.Entries(p.ctx(), p.addrOf(controlOctet(0), standin.DirectoryPort))
		return err == nil && slices.Equal(list, []string{p.entryAddr(1)})
	}, "the entry is no longer listed")
	a := <-done
	require.True(t, a.Complete && a.Status == 200, "%+v", a)
	select {
	case <-p.entries[0].done:
		require.NoError(t, p.entries[0].exitErr)
	case <-time.After(4 * time.Second):
		t.Fatal("the entry has not ended within its grace period")
	}
}

// Guards against requests to a draining backend server: one second after the drain was
// acknowledged, no entry sends it any more, and no caller sees an error.
func TestPlatformServerLeaves(t *testing.T) {
	p := newPlatformSite(t, 3, 2, 2)
	require.NoError(t, p.servers[0].Drain(p.ctx()))
	acknowledged := time.Now()
	for time.Since(acknowledged) < 2*time.Second {
		for i := range 2 {
			a, err := standin.Call(p.ctx(), p.entryAddr(i), platformKey, "/get/x", "")
			require.NoError(t, err)
			require.Equal(t, 200, a.Status)
		}
	}
	for _, r := range p.servers[0].Runs() {
		require.Less(t, r.At.Sub(acknowledged), time.Second)
	}
}

// Guards against usage that is reported twice or lost when a control replica crashes:
// the reported total equals the requests that servers ran.
func TestPlatformUsage(t *testing.T) {
	p := newPlatformSite(t, 3, 2, 1)
	for round := range 4 {
		if round == 2 {
			p.controls[1].kill(t)
		}
		for i := range 10 {
			a, err := standin.Call(p.ctx(), p.entryAddr(i%2), platformKey, "/get/x", "")
			require.NoError(t, err)
			require.Equal(t, 200, a.Status)
		}
		window := time.Now().Unix() // windows are a second long
		p.eventually(func() bool { return time.Now().Unix() > window }, "the next window")
	}
	requests := int64(len(p.runs()))
	p.eventually(func() bool {
		total, _ := p.cloud.Total("w1")
		return total == requests
	}, "all usage is reported")
	_, faults := p.cloud.Total("w1")
	require.Empty(t, faults)
}

// Guards against broken or repeated streams when an entry crashes under load: callers
// resume their streams at the other entry and receive each token once.
func TestPlatformLoad(t *testing.T) {
	p := newPlatformSite(t, 3, 2, 2)
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		p.eventually(func() bool { return len(p.runs()) > 20 }, "the load has started")
		p.entries[0].kill(t)
	}()
	r, err := load.Run(t.Context(), load.Config{
		Dialect: platform.LoadDialect{Host: standin.Host},
		Entries: []string{"http://" + p.addrOf(controlOctet(0), standin.DirectoryPort), "http://" + p.addrOf(controlOctet(1), standin.DirectoryPort)},
		Rate:    40, Duration: 3 * time.Second, Seed: 1,
		Parts: []load.Part{{
			Name: "chat", Weight: 1, Kind: load.Chat, Service: standin.Host, Path: "/chat/stream/100/", Key: platformKey, Deadline: 5 * time.Second,
			PrefixBytes: 400, Prefixes: 4, PromptBytes: 40, MaxTokens: 100,
		}},
	})
	require.NoError(t, err)
	<-killed
	chat := r.Parts[0]
	t.Logf("%d requests, %+v, %d reconnects, first token p50 %.0f p95 %.0f ms", chat.Requests, chat.Outcomes, chat.Reconnects, chat.FirstToken.P50, chat.FirstToken.P95)
	// A request that was killed before its first event can't be resumed: its caller sees
	// only a connection reset and must not resend it.
	require.LessOrEqual(t, chat.Outcomes.Broken, 3, "%v", chat.Errors)
	require.Equal(t, chat.Requests, chat.Outcomes.Answered+chat.Outcomes.Broken, "%v", chat.Errors)
	require.Equal(t, 100*chat.Outcomes.Answered, chat.Tokens, "each token once, and none of the broken ones")
	require.Positive(t, chat.Reconnects)
}

// Guards against callers that exhaust an entry's file descriptors or memory: a
// connection with an incomplete header is closed after the catalogue's header timeout
// (3 s here), and too large a header or body is refused with 431 or 413.
func TestPlatformLimitsOnCallers(t *testing.T) {
	p := newPlatformSite(t, 3, 1, 1)
	c, err := net.Dial("tcp", p.entryAddr(0))
	require.NoError(t, err)
	defer c.Close()
	start := time.Now()
	_, err = c.Write([]byte("POST /get/x HTTP/1.1\r\nHost: "))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(start.Add(waitTimeout)))
	_, err = io.Copy(io.Discard, c)
	require.NoError(t, err, "the entry closes it")
	require.Greater(t, time.Since(start), 2500*time.Millisecond)
	require.Less(t, time.Since(start), 10*time.Second)

	runsBefore := len(p.runs())
	a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/get/"+strings.Repeat("x", 17_000), "")
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, a.Status)
	a, err = standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/get/x", strings.Repeat("x", 1<<20+1))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, a.Status)
	require.Len(t, p.runs(), runsBefore)
}

// linkTraffic counts what a process has sent and received on links since its start.
type linkTraffic struct{ messages, bytes float64 }

func (p *platformSite) linkTraffic(addr string) (sum linkTraffic) {
	resp, err := http.Get("http://" + addr + "/metrics")
	require.NoError(p.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(p.t, err)
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), "} ")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case !found || err != nil:
		case strings.HasPrefix(name, "savoryreel_link_messages_total"):
			sum.messages += n
		case strings.HasPrefix(name, "savoryreel_link_bytes_total"):
			sum.bytes += n
		}
	}
	require.Positive(p.t, sum.messages, "%s", text)
	return sum
}

// Guards against link traffic between idle processes that costs CPU and network on every
// instance. The stand-in servers announce themselves to all control replicas five times
// a second, about six times as often as real ones.
func TestPlatformTrafficBetweenProcesses(t *testing.T) {
	const (
		maxMessagesPerSecond = 150       // per process
		maxBytesPerSecond    = 20 * 1024 // per process
	)
	p := newPlatformSite(t, 3, 2, 2)
	opsAddrs := map[string]string{
		"control": p.host(controlOctet(0)) + ":" + strconv.Itoa(platformPort+1),
		"entry":   p.host(entryOctet(0)) + ":" + strconv.Itoa(platformPort+2),
	}
	start, before := time.Now(), make(map[string]linkTraffic)
	for role, addr := range opsAddrs {
		before[role] = p.linkTraffic(addr)
	}
	p.eventually(func() bool {
		a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/get/x", "")
		require.NoError(t, err)
		require.Equal(t, 200, a.Status)
		return time.Since(start) > 5*time.Second
	}, "five seconds")
	for role, addr := range opsAddrs {
		now, seconds := p.linkTraffic(addr), time.Since(start).Seconds()
		messages, bytes := (now.messages-before[role].messages)/seconds, (now.bytes-before[role].bytes)/seconds
		t.Logf("%s: %.0f messages, %.0f bytes a second, sent and received", role, messages, bytes)
		require.Less(t, messages, float64(maxMessagesPerSecond), role)
		require.Less(t, bytes, float64(maxBytesPerSecond), role)
	}
}

// Guards against SIGHUP ending a process: control replicas and entries must read their
// settings again and keep serving.
func TestPlatformHangup(t *testing.T) {
	p := newPlatformSite(t, 3, 1, 1)
	for _, proc := range append(p.controls, p.entries...) {
		proc.signal(t, syscall.SIGHUP)
	}
	for _, proc := range append(p.controls, p.entries...) {
		p.eventually(func() bool { return strings.Contains(proc.log.String(), "settings reloaded") }, "the log has the event")
	}
	a, err := standin.Call(p.ctx(), p.entryAddr(0), platformKey, "/get/x", "")
	require.NoError(t, err)
	require.Equal(t, 200, a.Status)
}
