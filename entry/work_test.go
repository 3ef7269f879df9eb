package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/request"
)

func newTestWork(t *testing.T) *work {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return &work{request: &request.Request{ID: "r1-1"}, journal: request.NewJournal(nil), ctx: ctx, cancel: cancel}
}

// generate appends a token every 10 ms until the answer has the given number of tokens. It
// makes attempts as the runner does, and detects an interruption only after the next token.
func generate(w *work, tokens int) {
	defer w.cancel()
	for {
		ctx, cancel := w.stepContext()
		for ctx.Err() == nil && len(w.journal.Tokens()) < tokens {
			virtualWait(10 * time.Millisecond) // time between the engine's tokens
			w.journal.Append(fmt.Sprint(len(w.journal.Tokens())))
		}
		cause := context.Cause(ctx)
		cancel(nil)
		if len(w.journal.Tokens()) >= tokens {
			w.journal.Finish(request.End{Finish: "stop"})
			return
		}
		if !errors.Is(cause, errPaused) || !w.waitForResume() {
			w.journal.Finish(request.End{Problem: endedProblem(w.ctx, w.request)})
			return
		}
	}
}

// Guards against a token that is appended after the journal was copied for a hand-over: the
// other entry would generate it again, and the caller would get it twice. No entry accepts the
// request, so it is resumed and paused a second time. Fails if pause does not wait for
// w.paused, or if resume does not set it to nil.
func TestPauseStopsTokensUntilResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWork(t)
		go generate(w, 20)
		for round := range 2 {
			virtualWait(35 * time.Millisecond)
			require.True(t, w.pause())
			require.False(t, w.pause(), "a second pause returns false while the work is paused")
			copied := len(w.journal.Tokens())
			virtualWait(time.Second)
			require.Len(t, w.journal.Tokens(), copied, "round %d", round)
			w.resume()
		}
		_, end, err := w.journal.Next(t.Context(), 20)
		require.NoError(t, err)
		require.Equal(t, "stop", end.Finish)
		require.Len(t, w.journal.Tokens(), 20)
	})
}

// Guards against a hand-over that hangs, or that hands over a finished answer, if the answer
// ends during the pause: the other entry would generate its end again. Fails with a deadlock if
// pause does not wait for w.ctx.
func TestPauseRacesWithEndOfAnswer(t *testing.T) {
	for at := range 32 {
		synctest.Test(t, func(t *testing.T) {
			w := newTestWork(t)
			go generate(w, 3)
			virtualWait(time.Duration(at) * time.Millisecond)
			if w.pause() {
				require.Nil(t, w.journal.Ended())
				w.resume()
			}
			synctest.Wait()
			<-w.ctx.Done()
			require.Equal(t, "stop", w.journal.Ended().Finish)
			require.Len(t, w.journal.Tokens(), 3)
		})
	}
}

// Guards against a pause that returns true although the attempt may still append a token,
// because the work's context ended: the hand-over would copy the journal without that token.
// Fails if pause returns whether the journal has not ended when w.ctx ends.
func TestPauseOfCancelledWorkMissesNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWork(t)
		go generate(w, 20)
		virtualWait(31 * time.Millisecond)
		go func() {
			virtualWait(2 * time.Millisecond)
			w.cancel()
		}()
		paused := w.pause()
		copied := len(w.journal.Tokens())
		virtualWait(time.Second)
		require.False(t, paused && len(w.journal.Tokens()) != copied, "a token came after pause returned true")
		require.NotNil(t, w.journal.Ended())
	})
}

// virtualWait waits for d on the clock of a synctest bubble, which advances only while every
// goroutine of the bubble is blocked.
func virtualWait(d time.Duration) { <-time.After(d) }
