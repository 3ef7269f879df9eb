package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/retry"
	"savoryreel.example/savoryreel/request"
)

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(native.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// breakStream sends one token and closes the connection.
func breakStream(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// arrivalCount counts the arrivals of each request at a server. Probes have no request id.
type arrivalCount struct {
	mu   sync.Mutex
	byID map[string]int
}

func (a *arrivalCount) record(r *http.Request) {
	id := r.Header.Get(native.HeaderRequestID)
	if id == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = make(map[string]int)
	}
	a.byID[id]++
}

// repeats returns the arrivals beyond the first of each request.
func (a *arrivalCount) repeats() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, arrivals := range a.byID {
		n += arrivals - 1
	}
	return n
}

// Guards against a way to send requests again that does not ask the retry budgets: servers that
// fail would get several times their load.
func TestEveryRepeatIsWithinTheBudgets(t *testing.T) {
	const requests, slack, timeout = 20, 2, 3 * time.Second
	// Both start a request and return a function that waits for its end.
	plain := func(r *noticeRig, id string) (wait func()) {
		c, _ := r.plainCall(id, http.MethodGet, timeout)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.serve()
		}()
		return func() { <-done }
	}
	chat := func(r *noticeRig, id string) (wait func()) {
		w, p := r.chat(id, timeout)
		require.Nil(r.t, p)
		return func() { <-w.ctx.Done() }
	}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		send     func(*noticeRig, string) (wait func())
		restarts bool // the server starts anew with each request, so that it was not the request that failed
	}{
		"plain call, broken off":                   {breakOff, plain, false},
		"plain call, its server starts anew":       {breakOff, plain, true},
		"answer, refused":                          {refuse, chat, false},
		"answer, broken off before the first byte": {breakOff, chat, false},
		"answer, broken off after a token":         {breakStream, chat, false},
		"answer, its server starts anew":           {breakStream, chat, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var r *noticeRig
			var restart sync.Mutex
			incarnation := uint64(1)
			var arrivals arrivalCount
			r = newNoticeRig(t, func(w http.ResponseWriter, req *http.Request) {
				arrivals.record(req)
				if c.restarts {
					restart.Lock()
					incarnation++
					r.announce(incarnation)
					restart.Unlock()
				}
				c.handler(w, req)
			})
			r.retries.policy.SetSlack(r.now().Add(-retry.DefaultConfig().Window-time.Second), slack)
			var waits []func()
			for i := range requests {
				waits = append(waits, c.send(r, fmt.Sprint("q", i)))
			}
			for _, wait := range waits {
				wait()
			}
			repeats := arrivals.repeats()
			require.LessOrEqual(t, float64(repeats), slack+retry.DefaultConfig().Ratio*requests)
			require.GreaterOrEqual(t, repeats, slack, "repeats that the budgets allow are made")
		})
	}
}

// Guards against an entry that takes a request over and sends it again without asking the retry
// budgets.
func TestTakenOverRequestIsARepeat(t *testing.T) {
	r := newNoticeRig(t, refuse)
	r.retries.policy.SetSlack(r.now(), 0)
	body := native.ChatRequest{Model: "m", Messages: []native.Message{{Role: "user", Content: "hi"}}}
	w := r.newChat("q1", 300*time.Millisecond, body)
	w.ticket.sends.sent = true // at the entry before
	r.launch(w, body, false)
	r.runningRequests.Wait()
	require.Zero(t, r.received.Load())
	require.Equal(t, request.CodeDeadlineExpired, w.journal.Ended().Problem.Code)
}
