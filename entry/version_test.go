package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/request"
)

// versionEngine is an engine of a software version that writes its version as its tokens. It breaks its
// first breaks answers off after one token.
type versionEngine struct {
	version string
	breaks  atomic.Int64
	onBreak func() // called before an answer is broken off; nil: not
}

func (e *versionEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path != native.PathChat {
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", e.version)
	w.(http.Flusher).Flush()
	if e.breaks.Add(-1) >= 0 {
		if e.onBreak != nil {
			e.onBreak()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// startVersion announces an engine of a version.
func (r *noticeRig) startVersion(id, version string, breaks int64) *versionEngine {
	e := &versionEngine{version: version}
	e.breaks.Store(breaks)
	s := httptest.NewServer(e)
	r.t.Cleanup(s.Close)
	r.sequence++
	require.NoError(r.t, r.members.Announce(instance.Announcement{
		ID: id, Incarnation: 1, Sequence: r.sequence, Address: s.Listener.Addr().String(), Region: "r1", Zone: "z1",
		State: instance.StateServing, Model: "m", Version: version, Slots: 8,
	}))
	r.syncServers()
	r.guard.membersChanged()
	return e
}

// end announces that a server is gone.
func (r *noticeRig) end(id, model string) {
	r.sequence++
	require.NoError(r.t, r.members.Announce(instance.Announcement{
		ID: id, Incarnation: 1, Sequence: r.sequence, Address: r.address, Region: "r1", Zone: "z1", State: instance.StateGone, Model: model, Slots: 8,
	}))
	r.syncServers()
	r.guard.membersChanged()
}

// newVersionRig returns a rig without servers.
func newVersionRig(t *testing.T) *noticeRig {
	r := newNoticeRig(t, func(http.ResponseWriter, *http.Request) {})
	r.end("s1", "m")
	r.retries.policy.SetSlack(r.now().Add(-retry.DefaultConfig().Window-time.Second), 50)
	return r
}

// Guards against an answer that is joined from two software versions when its engine breaks off.
func TestChatGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	r := newVersionRig(t)
	for _, version := range []string{"v1", "v2"} {
		for i := range 3 {
			r.startVersion(fmt.Sprint(version, "-", i), version, 1)
		}
	}
	for i := range 12 {
		w, p := r.chat(fmt.Sprint("q", i), 5*time.Second)
		require.Nil(t, p)
		require.Eventually(t, func() bool { return w.journal.Ended() != nil }, 10*time.Second, time.Millisecond)
		require.Nil(t, w.journal.Ended().Problem)
		require.Len(t, slices.Compact(w.journal.Tokens()), 1, "tokens of two versions: %v", w.journal.Tokens())
	}
}

// Guards against an answer that goes on at another software version when no server of its own is left, and
// against one that waits for its deadline then.
func TestChatEndsIfNoServerOfItsVersionIsLeft(t *testing.T) {
	r := newVersionRig(t)
	for _, version := range []string{"v1", "v2"} {
		r.startVersion(version, version, 1).onBreak = func() { r.end(version, "m") }
	}
	w, p := r.chat("q", time.Minute)
	require.Nil(t, p)
	require.Eventually(t, func() bool { return w.journal.Ended() != nil }, 10*time.Second, time.Millisecond)
	require.Len(t, slices.Compact(w.journal.Tokens()), 1, "tokens of two versions: %v", w.journal.Tokens())
	require.NotNil(t, w.journal.Ended().Problem)
	require.Equal(t, request.CodeNoServer, w.journal.Ended().Problem.Code)
	require.Equal(t, request.Unknown, w.journal.Ended().Problem.Outcome)
}
