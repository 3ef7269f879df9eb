package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/request"
)

// Guards against a call that is sent to a server after its entry has closed the caller's
// connection: it would run, and its caller get no answer.
func TestCallEndsWithItsEntry(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		e := &Entry{}
		e.ctx, e.cancel = context.WithCancel(t.Context())
		caller, leave := context.WithCancel(t.Context())
		ctx, cancel := e.callContext(caller, &request.Request{Idempotent: idempotent, Deadline: time.Now().Add(time.Minute)})
		defer cancel()
		if !idempotent {
			leave()
			require.NoError(t, ctx.Err(), "a once-only call outlives its caller")
		}
		e.cancel()
		require.Eventually(t, func() bool { return ctx.Err() != nil }, time.Second, time.Millisecond)
		leave()
	}
}
