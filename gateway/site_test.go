package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/policy/limit"
	"savoryreel.example/savoryreel/policy/quorum"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// plainDialect marks requests and answers with a few headers of its own.
type plainDialect struct{}

func (plainDialect) RequestHeader(r *Request, run Attempt) http.Header {
	h := r.Header.Clone()
	h.Set("X-Id", r.ID)
	h.Set("X-Left", fmt.Sprint(run.Remaining.Milliseconds()))
	h.Set("X-Workspace", run.Workspace)
	h.Set("X-After", run.ResumeAfter)
	return h
}

func (plainDialect) Matches(r *Request, h http.Header) bool { return h.Get("X-Id") == r.ID }

func (plainDialect) Classify(status int, h http.Header) AnswerClass {
	switch {
	case h.Get("X-Not-Run") != "":
		return NotRun
	case h.Get("X-Signed") == "":
		return Unusable
	case status >= 500:
		return Failed
	default:
		return Answered
	}
}

func (plainDialect) Notice(_ int, h http.Header) Notice {
	ms, _ := strconv.Atoi(h.Get("X-Pause-Ms"))
	limit, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
	brittle, brittleErr := strconv.Atoi(h.Get("X-Brittle"))
	return Notice{
		Leaving: h.Get("X-Leaving") != "", Pause: time.Duration(ms) * time.Millisecond, Limited: err == nil, Limit: limit,
		Brittle: brittleErr == nil, BrittleLimit: brittle,
	}
}

func (plainDialect) AnswerHeader(h http.Header) http.Header { return h.Clone() }

// standIn is a backend server with a given handler that records its requests.
type standIn struct {
	*httptest.Server
	mu       sync.Mutex
	requests []*http.Request
}

func (s *standIn) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// rig is a gateway with stand-in servers and no control replicas.
type rig struct {
	*Gateway
	t           *testing.T
	serverCount uint64
	clockOffset atomic.Int64 // nanoseconds by which the gateway's clock is ahead
}

func newRig(t *testing.T) *rig { return newRigWithLog(t, slog.New(slog.DiscardHandler)) }

func newRigWithLog(t *testing.T, log *slog.Logger) *rig {
	r := &rig{t: t}
	g, err := New(Config{Node: testNode(), ClusterKey: "k"}, Deps{
		Log: log, Now: func() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) },
		Seeds: func() []string { return nil }, Dialect: plainDialect{},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		g.links.Close()
		g.pool.CloseAllIdle()
	})
	r.Gateway = g
	return r
}

func testNode() site.Node {
	return site.Node{
		Name: "e1", IP: "127.0.0.1", Zone: "z", Region: "r", FirstPort: 1, LastPort: 9, Seeds: []string{"127.0.0.1:1"},
		Bounds: site.Bounds{
			Drain: time.Second, StopGrace: time.Second, ConfigApply: time.Second, UsageWindow: 5 * time.Second,
			RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 50, QuotaWindow: 8 * time.Second, QuotaOverrun: 0.1, QuotaSlack: 80,
		},
	}
}

// grantWholeLimits advances the clock past the startup wait and records the vote of a
// control replica that the gateway is the only entry.
func (r *rig) grantWholeLimits() {
	r.clockOffset.Add(int64(time.Minute))
	r.shares.record("c1", loneReply("e1", r.incarnation, 1), r.now())
	r.Gateway.limits.updateShare()
}

// lone is the reply of the only voter.
var lone = limit.Reply{View: quorum.View{Self: 1, Voters: []uint64{1}}}

// loneReply returns the reply of the only control replica, which grants an entry a share.
func loneReply(name string, incarnation uint64, entries int) limit.Reply {
	return limit.Reply{
		Grant: limit.Grant{Name: name, Divisor: entries, Reserved: entries, Index: 1, First: incarnation}, Entries: entries, Applied: true,
		View: lone.View,
	}
}

// server adds a stand-in server to a service.
func (r *rig) server(service string, handle http.HandlerFunc) *standIn {
	return r.serverOf("", service, handle)
}

// serverOf adds a stand-in server of a software version to a service.
func (r *rig) serverOf(version, service string, handle http.HandlerFunc) *standIn {
	s := &standIn{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("X-Id") == "" {
			return // a health check, which runs nothing
		}
		s.mu.Lock()
		s.requests = append(s.requests, req)
		s.mu.Unlock()
		w.Header().Set("X-Id", req.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		handle(w, req)
	}))
	r.t.Cleanup(s.CloseClientConnections)
	r.serverCount++
	r.directory.Announce(instance.Announcement{
		ID: fmt.Sprintf("s%d", r.serverCount), Incarnation: 1, Sequence: 1, State: instance.StateServing,
		Address: s.Listener.Addr().String(), Zone: "z", Slots: 8, Services: []string{service}, Version: version,
	}, time.Now())
	r.applyDirectory()
	return s
}

// setRoutes puts routes in force.
func (r *rig) setRoutes(list ...routes.Route) {
	c := &routes.Catalogue{Revision: 1, Routes: list, Services: []routes.Service{{Name: "web"}}}
	for i := range c.Routes {
		x := &c.Routes[i]
		x.Name, x.Host = fmt.Sprintf("r%d", i), "a.example"
		x.Split = []routes.WeightedService{{Service: "web", Weight: 1}}
		if x.Timeout == 0 {
			x.Timeout = 3 * time.Second
		}
		x.MaxServers = max(x.MaxServers, 1)
	}
	require.NoError(r.t, c.Validate())
	r.table.Store(routes.NewTable(c))
	r.confirmRevision(c.Revision)
}

// recorder is a Writer that records an answer.
type recorder struct {
	status int
	length int64
	body   []byte
}

func (r *recorder) Begin(status int, _ http.Header, length int64) {
	r.status, r.length = status, length
}

func (r *recorder) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

func (r *recorder) Flush() error { return nil }

func (r *rig) serve(path string) (*recorder, *Refusal) {
	return r.serveContext(r.t.Context(), path)
}

func (r *rig) serveContext(ctx context.Context, path string) (*recorder, *Refusal) {
	out := &recorder{}
	refusal := r.Serve(ctx, &Request{
		ID: fmt.Sprint(time.Now().UnixNano()), Method: "POST", Target: path, Path: path, Host: "a.example", Header: http.Header{},
	}, out)
	return out, refusal
}

// fillBudget adds to the retry budget as ordinary traffic does.
func (r *rig) fillBudget() { r.fillBudgetFor(20) }

// fillBudgetFor adds enough for the given number of repeats at the site's ratio of 0.2, of
// which half is to be had before a window has passed.
func (r *rig) fillBudgetFor(repeats int) {
	for range repeats * 11 {
		r.repeats.recordFirst(retry.Call{Service: "web", Class: contract.ClassInteractive, Idempotent: true})
	}
}
