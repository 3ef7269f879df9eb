package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/request"
)

// pause makes the server ask for a pause.
func (r *noticeRig) pause(d time.Duration) {
	r.lanes.heed(quarantine.Server{ID: "s1", Incarnation: 1}, native.AnswerNotice{Pause: d})
}

// Guards against a call that is sent although its server has asked for a pause since it was
// granted: calls wait for the quarantine and for connections.
func TestCallGrantedBeforeThePauseIsNotSent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		r := newNoticeRig(t, leave(true))
		c, _ := r.plainCall("q1", method, 3*time.Second)
		g, p := c.acquire()
		require.Nil(t, p)
		r.pause(time.Minute)
		if method == http.MethodGet {
			p = c.runRepeatable(g)
		} else {
			p = c.sendOnce(g)
		}
		require.NotNil(t, p, method)
		require.Equal(t, request.CodeNoServer, p.Code)
		require.Equal(t, request.NotRun, p.Outcome)
		require.Greater(t, p.RetryAfter, 50*time.Second)
		require.Zero(t, r.received.Load())
		require.Empty(t, r.lane(plainKey("web")).ownSlots)
	}
}

// Guards against a call that is refused, or charged with a failed attempt, because the server that
// it was granted has asked for a pause, while another takes it.
func TestCallGrantedBeforeThePauseGoesToAnotherServer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		r := newNoticeRig(t, leave(true))
		c, out := r.plainCall("q1", method, 3*time.Second)
		g, p := c.acquire()
		require.Nil(t, p)
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }))
		defer other.Close()
		r.announceAt("s2", 1, other.Listener.Addr().String())
		r.pause(time.Minute)
		if method == http.MethodGet {
			p = c.runRepeatable(g)
		} else {
			p = c.sendOnce(g)
		}
		require.Nil(t, p, method)
		require.Equal(t, http.StatusAccepted, out.Code)
		require.Zero(t, r.received.Load())
		require.Zero(t, r.metrics.attemptsFailed.Get())
	}
}

// Guards against a chat that is sent within a pause that began after its grant, and against one
// that is lost because of the pause.
func TestChatGrantedBeforeThePauseIsSentAfterIt(t *testing.T) {
	r := newNoticeRig(t, leave(true))
	body := native.ChatRequest{Model: "m", Messages: []native.Message{{Role: "user", Content: "hi"}}}
	w, g := r.grantedChat(body)
	r.pause(time.Minute)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runner.run(w, body, g)
	}()
	time.Sleep(150 * time.Millisecond)
	require.Zero(t, r.received.Load())
	r.advance(time.Minute)
	<-done
	require.Nil(t, w.journal.Ended().Problem)
	require.EqualValues(t, 1, r.received.Load())
}

// grantedChat returns a request of the model m that has been granted the server.
func (r *noticeRig) grantedChat(body native.ChatRequest) (*work, *grant) {
	w := r.newChat("q1", 5*time.Minute, body)
	require.Nil(r.t, w.ticket.lane.submit(w.ticket))
	return w, takeGrant(r.t, w.ticket)
}

// Guards against the import of a KV cache by a server that pauses, and against a request that
// then loses the cache, and prefills its prompt again. The source still exports it.
func TestNoImportAtPausedServer(t *testing.T) {
	var imports atomic.Int64
	r := newNoticeRig(t, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, native.PathKVImport) {
			imports.Add(1)
		}
		_, _ = w.Write([]byte(`{"handle":"h","tokens":3}`))
	})
	w, g := r.grantedChat(native.ChatRequest{Model: "m", Messages: []native.Message{{Role: "user", Content: "hi"}}})
	w.kvSource = r.address
	w.journal.Append("a")
	r.pause(time.Minute)
	_, err := r.runner.attempt(t.Context(), w, native.ChatRequest{}, g)
	require.True(t, native.NotRun(err))
	require.Zero(t, imports.Load())
	require.EqualValues(t, 1, r.received.Load(), "the export")
	require.Equal(t, r.address, w.takeKVSource())
	g.cancelled()
}

// Guards against fetches of listings from a server that pauses, and against none after it.
func TestNoListingFromPausedServer(t *testing.T) {
	r := newNoticeRig(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"incarnation":1}`)) })
	r.pause(time.Minute)
	r.prefixes.apply("s1", 1, []instance.CacheEvent{{Sequence: 7}})
	r.listingFetches.Wait()
	require.Zero(t, r.received.Load())
	r.advance(time.Minute)
	r.prefixes.apply("s1", 1, []instance.CacheEvent{{Sequence: 8}})
	r.listingFetches.Wait()
	require.EqualValues(t, 1, r.received.Load())
}

// Guards against a listing's refusal that isn't heeded.
func TestPauseThatListingAsksFor(t *testing.T) {
	r := newNoticeRig(t, refuseFor("5"))
	r.prefixes.apply("s1", 1, []instance.CacheEvent{{Sequence: 7}})
	r.listingFetches.Wait()
	require.False(t, r.used(modelKey))
}
