package request

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a reader that loses, repeats or reorders tokens when it starts at
// any position while the answer grows.
func TestJournalGivesEveryReaderEveryTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.String(), 0, 40).Draw(t, "tokens")
		receivedCount := rapid.IntRange(0, len(want)).Draw(t, "received")
		j := NewJournal(append([]string{}, want[:receivedCount]...))
		var readers sync.WaitGroup
		got := make([][]string, 3)
		for i := range got {
			from := rapid.IntRange(0, receivedCount).Draw(t, "from")
			readers.Go(func() {
				got[i] = append(got[i], want[:from]...)
				for {
					tokens, end, err := j.Next(context.Background(), len(got[i]))
					if err != nil || end != nil {
						return
					}
					got[i] = append(got[i], tokens...)
				}
			})
		}
		for _, token := range want[receivedCount:] {
			j.Append(token)
		}
		j.Finish(End{Finish: "stop"})
		j.Append("late") // from an abandoned attempt
		readers.Wait()
		for i := range got {
			require.Equal(t, len(want), len(got[i]))
			for k := range want {
				require.Equal(t, want[k], got[i][k])
			}
		}
	})
}

// Guards against a reader that waits after its caller has disconnected.
func TestJournalNextReturnsContextError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := NewJournal(nil).Next(ctx, 0)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a Retry-After that lets the caller retry too early.
func TestProblemWriteRoundsRetryAfterUp(t *testing.T) {
	w := httptest.NewRecorder()
	NewProblem(CodeLimit, NotRun, "busy").After(1200 * time.Millisecond).Write(w)
	require.Equal(t, 429, w.Code)
	require.Equal(t, "2", w.Header().Get("Retry-After"))
	require.Equal(t, "not_run", w.Header().Get(HeaderOutcome))
}

// Guards against equal fingerprints of requests whose concatenated fields are equal.
func TestFingerprintSeparatesFields(t *testing.T) {
	a := &Request{Workspace: "ab", Service: "c"}
	b := &Request{Workspace: "a", Service: "bc"}
	require.NotEqual(t, a.Fingerprint(), b.Fingerprint())
}
