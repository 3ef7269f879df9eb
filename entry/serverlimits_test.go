package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/throttle"
	"savoryreel.example/savoryreel/serverlimit"
)

// fakeTokens grants a number of tokens, one at a time, and then none.
type fakeTokens struct {
	mu   sync.Mutex
	left int
	asks int
}

func (f *fakeTokens) ask(context.Context, throttle.Request) (throttle.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks++
	if f.left == 0 {
		return throttle.Reply{After: 100 * time.Millisecond}, nil
	}
	f.left--
	return throttle.Reply{Granted: 1}, nil
}

// refuseWithLimit turns requests away, and names a limit.
func refuseWithLimit(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(native.HeaderNotRun, "1")
	w.Header().Set(native.HeaderLimit, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a kind of request that passes by the limit which a server has named: each send
// needs a token, those of a request that is sent again too.
func TestServerLimitHoldsForEachKindOfRequest(t *testing.T) {
	for _, tokens := range []int{0, 2} {
		for name, send := range map[string]func(r *noticeRig, id string){
			"plain": func(r *noticeRig, id string) {
				c, _ := r.plainCall(id, http.MethodGet, 300*time.Millisecond)
				_ = c.serve()
			},
			"plain, at most once": func(r *noticeRig, id string) {
				c, _ := r.plainCall(id, http.MethodPost, 300*time.Millisecond)
				_ = c.serve()
			},
			"model": func(r *noticeRig, id string) {
				w, p := r.chat(id, 300*time.Millisecond)
				require.Nil(r.t, p)
				time.Sleep(300 * time.Millisecond)
				w.cancel()
				r.runningRequests.Wait()
			},
		} {
			t.Run(name, func(t *testing.T) {
				r := newNoticeRig(t, refuseWithLimit)
				source := &fakeTokens{left: tokens}
				r.lanes.limits = serverlimit.New("e1", source.ask, r.now)
				r.lanes.limits.Named(throttle.Server{ID: "s1", Incarnation: 1}, 1)
				r.lanes.byKey = map[laneKey]*lane{} // made again with these limits
				for i := range 3 {
					send(r, fmt.Sprint("q", i))
				}
				require.Positive(t, source.asks)
				require.LessOrEqual(t, r.received.Load(), int64(tokens))
				require.Equal(t, tokens > 0, r.received.Load() > 0)
				require.LessOrEqual(t, source.asks, 60, "while there is none it asks now and then")
			})
		}
	}
}
