package follow

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that ends before a replica has its last counts, and against one that waits for a replica
// that does not reply.
func TestFlushWaitsForReplicasThatReply(t *testing.T) {
	f := New(Config{}, Deps{Now: func() time.Time { return startTime }, Seeds: func() []string { return nil }})
	replies, lost := &peer{wake: make(chan struct{}, 1)}, &peer{wake: make(chan struct{}, 1), unreachable: true}
	f.peers["a"], f.peers["b"] = replies, lost
	f.recordAnswered(replies, 0) // of a request that was made before
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	f.Flush(short)
	require.Error(t, short.Err(), "the reply to an earlier request is not enough")
	replies.discardWake() // of the first call
	go func() {
		<-replies.wake
		f.recordAnswered(replies, f.prompts.Load())
	}()
	ctx, cancelFlush := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancelFlush()
	f.Flush(ctx)
	require.NoError(t, ctx.Err())
}
