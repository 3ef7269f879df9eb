package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
)

// noticeRig is an entry with its own clock and one backend server, s1, which is in the lanes of
// the model m and of the plain services web, other and later.
type noticeRig struct {
	*Entry
	t        *testing.T
	offset   atomic.Int64 // of the clock
	address  string
	handler  atomic.Pointer[http.HandlerFunc]
	received atomic.Int64 // requests that reached the server
	sequence uint64
}

// okLedger is a ledger that commits every command.
type okLedger struct{}

func (okLedger) Ledger(context.Context, ledger.Command) (ledger.Result, error) {
	return ledger.Result{Verdict: ledger.VerdictStarted}, nil
}

func newNoticeRig(t *testing.T, h http.HandlerFunc) *noticeRig {
	r := &noticeRig{t: t}
	r.handler.Store(&h)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		r.received.Add(1)
		(*r.handler.Load())(w, req)
	}))
	t.Cleanup(backend.Close)
	r.address = backend.Listener.Addr().String()
	e, err := New(Config{ID: "e1", Region: "r1", Zone: "z1", ClusterKey: "k", LinkListen: "127.0.0.1:1", Capacity: 1, ListValidity: 30 * time.Second},
		Deps{Log: slog.New(slog.DiscardHandler), Now: r.now})
	require.NoError(t, err)
	e.ledger = okLedger{}
	r.Entry = e
	t.Cleanup(func() {
		e.runningRequests.Wait()
		e.ledgerUpdates.Wait()
		e.cancel()
		e.listingFetches.Wait()
		e.pool.Close()
		e.plainClient.(*native.PlainClient).Close()
		e.runner.engines.(*native.EngineClient).Close()
	})
	r.announce(1)
	return r
}

func (r *noticeRig) now() time.Time { return time.Now().Add(time.Duration(r.offset.Load())) }

func (r *noticeRig) advance(d time.Duration) { r.offset.Add(int64(d)) }

// announce announces s1.
func (r *noticeRig) announce(incarnation uint64) { r.announceAt("s1", incarnation, r.address) }

func (r *noticeRig) announceAt(id string, incarnation uint64, address string) {
	r.sequence++
	require.NoError(r.t, r.members.Announce(instance.Announcement{
		ID: id, Incarnation: incarnation, Sequence: r.sequence, Address: address, Region: "r1", Zone: "z1",
		State: instance.StateServing, Model: "m", Services: []string{"web", "other", "later"}, Slots: 8,
	}))
	r.syncServers()
	r.guard.membersChanged()
}

func plainKey(service string) laneKey { return laneKey{kind: contract.KindPlain, name: service} }

var modelKey = laneKey{kind: contract.KindModel, name: "m"}

func (r *noticeRig) lane(key laneKey) *lane {
	l, err := r.lanes.get(key)
	require.NoError(r.t, err)
	return l
}

// used reports whether new requests of a lane are sent to the server.
func (r *noticeRig) used(key laneKey) bool {
	l := r.lane(key)
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.router.Choose(&route.Request{Now: r.now(), PromptTokens: 10, Zone: "z1", Region: "r1", NoProbe: true})
	return v.OK()
}

func (r *noticeRig) newRequest(id, method string, timeout time.Duration) *request.Request {
	return &request.Request{
		ID: request.ID(id), Workspace: "w", Service: "web", Class: contract.ClassStandard, Method: method, Path: "/x", Key: id,
		Idempotent: method == http.MethodGet, Accepted: r.now(), Deadline: r.now().Add(timeout), Cost: plainCallTokens,
	}
}

// plainCall returns a call of the service web.
func (r *noticeRig) plainCall(id, method string, timeout time.Duration) (*plainCall, *httptest.ResponseRecorder) {
	req := r.newRequest(id, method, timeout)
	out := httptest.NewRecorder()
	ctx, cancel := context.WithTimeout(r.t.Context(), timeout)
	r.t.Cleanup(cancel)
	return &plainCall{
		entry: r.Entry, request: req, http: httptest.NewRequest(method, "/svc/web/x", nil), writer: out, ctx: ctx,
		service: &contract.Service{Name: "web", Kind: contract.KindPlain},
		ticket: &ticket{
			request: req, weight: 1, lane: r.lane(plainKey("web")), decision: make(chan decision, 1), sends: &sends{retries: r.retries, request: req},
			route: route.Request{Key: 1, Zone: "z1", Region: "r1", NoProbe: true},
		},
	}, out
}

// newChat returns the work of a request of the model m.
func (r *noticeRig) newChat(id string, timeout time.Duration, body native.ChatRequest) *work {
	s := &contract.Service{Name: "chat", Kind: contract.KindModel, Model: "m"}
	w, err := r.newWork(s, r.newRequest(id, http.MethodPost, timeout), body, nil, 1)
	require.NoError(r.t, err)
	r.t.Cleanup(w.cancel)
	return w
}

// chat starts a request of the model m.
func (r *noticeRig) chat(id string, timeout time.Duration) (*work, *request.Problem) {
	body := native.ChatRequest{Model: "m", Messages: []native.Message{{Role: "user", Content: "hi"}}}
	w := r.newChat(id, timeout, body)
	if p := w.ticket.lane.submit(w.ticket); p != nil {
		return w, p
	}
	r.launch(w, body, true)
	return w, nil
}

// noticePaths are the ways by which requests reach a server. Each sends one.
var noticePaths = map[string]func(r *noticeRig){
	"plain": func(r *noticeRig) {
		c, _ := r.plainCall("q1", http.MethodGet, 3*time.Second)
		require.Nil(r.t, c.serve())
	},
	"plain, at most once": func(r *noticeRig) {
		c, _ := r.plainCall("q1", http.MethodPost, 3*time.Second)
		require.Nil(r.t, c.serve())
	},
	"model": func(r *noticeRig) {
		w, p := r.chat("q1", 3*time.Second)
		require.Nil(r.t, p)
		require.Eventually(r.t, func() bool { return r.metrics.attemptsFailed.Get() > 0 || w.journal.Ended() != nil }, 5*time.Second, time.Millisecond)
		w.cancel()
		r.runningRequests.Wait()
	},
}

// refuseFor answers 503 and asks for a pause.
func refuseFor(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(native.HeaderNotRun, "1")
		w.Header().Set(native.HeaderRetryAfter, seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against requests to a server that has turned one away and asked for a pause, through
// any of its lanes: it is overloaded, and each request costs it more.
func TestServerThatAsksForPauseGetsNoRequests(t *testing.T) {
	for name, send := range noticePaths {
		t.Run(name, func(t *testing.T) {
			r := newNoticeRig(t, refuseFor("2.5"))
			keys := []laneKey{plainKey("web"), plainKey("other"), modelKey, plainKey("later")}
			for _, key := range keys[:3] {
				require.True(t, r.used(key))
			}
			send(r)
			r.lanes.remove("s1")
			r.announce(1)
			r.advance(2 * time.Second)
			for _, key := range keys {
				require.False(t, r.used(key), "%v within the pause", key)
			}
			r.advance(600 * time.Millisecond)
			for _, key := range keys {
				require.True(t, r.used(key), "%v after the pause", key)
			}
			require.EqualValues(t, 1, r.received.Load())
		})
	}
}

// Guards against a pause that outlives the incarnation that asked for it, but for the short time
// in which an answer of the new one may have asked.
func TestPauseEndsSoonAfterTheIncarnation(t *testing.T) {
	r := newNoticeRig(t, refuseFor("60"))
	noticePaths["plain"](r)
	require.False(t, r.used(plainKey("web")))
	r.announce(2)
	r.advance(9 * time.Second)
	require.False(t, r.used(plainKey("web")))
	require.False(t, r.used(plainKey("later")))
	r.advance(2 * time.Second)
	require.True(t, r.used(plainKey("web")))
	require.True(t, r.used(plainKey("later")))
}

// leave answers each request, or turns it away, and says that the server leaves.
func leave(serves bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(native.HeaderLeaving, "1")
		switch {
		case !serves:
			w.Header().Set(native.HeaderNotRun, "1")
			w.WriteHeader(http.StatusTooManyRequests)
		case req.URL.Path == native.PathChat:
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
		}
	}
}

// Guards against requests to a server that says in its answers that it leaves, also when it is
// announced as serving again: they would be cut off when it ends. Requests that only it could
// run are refused at once, and its end is no crash of theirs.
func TestServerThatLeavesInItsAnswersGetsNoRequests(t *testing.T) {
	for name, send := range noticePaths {
		for _, serves := range []bool{true, false} {
			t.Run(name+", serves "+strconv.FormatBool(serves), func(t *testing.T) {
				r := newNoticeRig(t, leave(serves))
				keys := []laneKey{plainKey("web"), plainKey("other"), modelKey, plainKey("later")}
				require.True(t, r.used(plainKey("other")))
				send(r)
				for range 2 {
					for _, key := range keys {
						require.False(t, r.used(key), "%v", key)
					}
					require.True(t, r.onLeavingServer(&grant{verdict: route.Verdict{Candidate: route.Candidate{Server: "s1"}, Incarnation: 1}}))
					c, _ := r.plainCall("q2", http.MethodGet, time.Minute)
					p := c.ticket.lane.submit(c.ticket)
					require.NotNil(t, p)
					require.Equal(t, request.CodeNoServer, p.Code)
					r.lanes.remove("s1")
					r.announce(1)
					r.advance(time.Minute)
				}
				r.announce(2)
				for _, key := range keys {
					require.True(t, r.used(key), "%v, started again", key)
				}
				require.EqualValues(t, 1, r.received.Load())
			})
		}
	}
}

// Guards against a header about a server that reaches the caller.
func TestCallerGetsNoLeavingHeader(t *testing.T) {
	r := newNoticeRig(t, leave(true))
	c, out := r.plainCall("q1", http.MethodGet, 3*time.Second)
	require.Nil(t, c.serve())
	require.Equal(t, http.StatusOK, out.Code)
	require.Empty(t, out.Header().Values(native.HeaderLeaving))
}

// Guards against callers that wait in the queue until their deadlines, or come back too early,
// while all servers have asked for a pause.
func TestRefusalWhileAllServersPause(t *testing.T) {
	r := newNoticeRig(t, refuseFor("30"))
	noticePaths["plain"](r)
	r.advance(10 * time.Second)
	requireRefusal := func(p *request.Problem) {
		t.Helper()
		require.NotNil(t, p)
		require.Equal(t, request.CodeNoServer, p.Code)
		require.Equal(t, request.NotRun, p.Outcome)
		require.InDelta(t, 22.5, p.RetryAfter.Seconds(), 3, "the pause ends in 20 s; callers come back spread over some time")
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		c, _ := r.plainCall("q2", method, 3*time.Second)
		requireRefusal(c.serve())
		require.NoError(t, c.ctx.Err(), "it was refused at once")
	}
	_, p := r.chat("q3", 3*time.Second)
	requireRefusal(p)
	require.EqualValues(t, 1, r.received.Load())
}

// Guards against a request that waits for its deadline after its only server has refused it
// and asked for a longer pause.
func TestRefusedRequestEndsIfThePauseOutlastsIt(t *testing.T) {
	r := newNoticeRig(t, refuseFor("60"))
	w, p := r.chat("q1", 3*time.Second)
	require.Nil(t, p)
	require.Eventually(t, func() bool { return w.journal.Ended() != nil }, 2*time.Second, time.Millisecond)
	end := w.journal.Ended().Problem
	require.Equal(t, request.CodeNoServer, end.Code)
	require.Equal(t, request.NotRun, end.Outcome)
	require.Greater(t, end.RetryAfter, 59*time.Second)
}
