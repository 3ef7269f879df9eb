package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call timeout that shrinks with a short wait. A starting entry uses short
// waits; with a large catalogue and a slow link each call would time out before its reply
// arrives, and the entry would never serve requests.
func TestShortWaitKeepsMinCallTimeout(t *testing.T) {
	require.Equal(t, minWait+replyMargin, callTimeout(30*time.Millisecond, false))
	require.Equal(t, 2*time.Second, callTimeout(time.Second, false))
}
