package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry that starts asks for short waits. Its calls must not be given up sooner for it:
// where each replica's answer brings a large catalogue over a slow link, none would ever
// arrive, and the entry would serve nobody.
func TestShortWaitKeepsMinCallTimeout(t *testing.T) {
	require.Equal(t, minWait+replyMargin, callTimeout(30*time.Millisecond))
	require.Equal(t, 2*time.Second, callTimeout(time.Second))
}
