package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/routes"
)

// versionStream writes events from the one that the request asks for to last, each with a version.
// Unless whole, it then cuts the connection within the next event.
func versionStream(version string, last int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		for id := resumeAt(req); id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
			w.(http.Flusher).Flush()
		}
		if !whole {
			fmt.Fprintf(w, "id: %d\ndata: ", last+1)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// newOriginRig returns a rig with one resumable route of streams.
func newOriginRig(t *testing.T) *rig {
	r := newRig(t)
	r.setRoutes(routes.Route{Prefix: "/", Kind: routes.Stream, Resumable: true, MaxServers: 3})
	r.fillBudget()
	return r
}

// takeUp sends a request that takes a stream up after an event.
func (r *rig) takeUp(id, resumes, after string) (*recorder, *Refusal) {
	out := &recorder{}
	refusal := r.Serve(r.t.Context(), &Request{
		ID: id, Method: "POST", Target: "/x", Path: "/x", Host: "a.example", Header: http.Header{}, Resumes: resumes, ResumeAfter: after,
	}, out)
	return out, refusal
}

// Guards against an answer that is joined from two software versions when its server breaks off.
func TestStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	for range 8 { // the choice is drawn
		r := newOriginRig(t)
		r.serverOf("v1", "web", versionStream("v1", 3, false))
		_, refusal := r.serve("/x")
		require.Equal(t, Truncated, refusal.Reason, "no other server")

		r = newOriginRig(t)
		broken := r.serverOf("v1", "web", versionStream("v1", 3, false))
		other := r.serverOf("v2", "web", versionStream("v2", 6, true))
		r.serverOf("v1", "web", versionStream("v1", 6, true))
		out, _ := r.serve("/x")
		if broken.count() > 0 {
			require.Zero(t, other.count(), "%s", out.body)
		}
		require.False(t, strings.Contains(string(out.body), "v1") && strings.Contains(string(out.body), "v2"), "%s", out.body)
	}
}

// Guards against a stream that its caller takes up and that goes on at another software version, and
// against one that goes on although nobody knows which version began it.
func TestTakenUpStreamGoesOnAtTheVersionThatBeganIt(t *testing.T) {
	r := newOriginRig(t)
	r.serverOf("v1", "web", versionStream("v1", 3, false))
	_, refusal := r.takeUp("a1", "", "")
	require.Equal(t, Truncated, refusal.Reason)
	r.directory.Leave("s1", 1, time.Now())
	r.applyDirectory()

	other := r.serverOf("v2", "web", versionStream("v2", 6, true))
	out, refusal := r.takeUp("a2", "a1", "3")
	require.NotNil(t, refusal, "%s", out.body)
	require.True(t, refusal.Reason.NotRun())

	r.serverOf("v1", "web", versionStream("v1", 6, true))
	out, refusal = r.takeUp("a3", "a1", "3")
	require.Nil(t, refusal)
	require.NotContains(t, string(out.body), "v2")

	for _, unknown := range []string{"a9", ""} {
		out, refusal = r.takeUp("a4"+unknown, unknown, "3")
		require.NotNil(t, refusal, "%s", out.body)
		require.True(t, refusal.Reason.NotRun())
	}
	require.Zero(t, other.count())
}
