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

// generate appends a token each 10 ms, in attempts as the runner makes them,
// until the answer has as many as given. It notices an interruption only after
// the token that was on its way.
func generate(w *work, tokens int) {
	defer w.cancel()
	for {
		ctx, cancel := w.stepContext()
		for ctx.Err() == nil && len(w.journal.Tokens()) < tokens {
			virtualWait(10 * time.Millisecond) // virtual: an engine's pace
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

// A request is handed over while its tokens stream in. A token that came after
// the journal was copied would reach the caller here and be generated again at
// the other entry: the caller reads it twice. Nobody takes the request, so it
// goes on, and is paused once more. Broken by not waiting for parked in pause,
// and by not setting parked to nil in resume.
func TestPauseStopsTokensUntilResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWork(t)
		go generate(w, 20)
		for round := range 2 {
			virtualWait(35 * time.Millisecond)
			require.True(t, w.pause())
			require.False(t, w.pause(), "a second pause at once is refused")
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

// The answer ends in the moment of the pause, at each point of its course. The
// hand-over must neither hang nor take a finished answer for one that goes on:
// the other entry would generate the end again. Broken by not waiting for w.ctx
// in pause, which then hangs.
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

// The deadline passes or the only caller leaves while a pause waits for the
// attempt, which has a token on its way. Pause must not promise that no more
// come: the hand-over would copy the journal without that token. Broken by
// passing on whether the journal has ended when w.ctx ends in pause.
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

// virtualWait waits for a time on the clock of a synctest bubble, which moves only
// when every goroutine of the test waits.
func virtualWait(d time.Duration) { <-time.After(d) }
