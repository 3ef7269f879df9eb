package fleet

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/native"
)

// Guards against an order that counts as followed though the server's answer is none of HTTP.
func TestOrderWithAnswerThatIsNoHTTP(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 0", "HTTP/1.1 099 x\r\nContent-Length: 0",
		"HTTP/1.1 200 OK\r\nContent Length: 0", "HTTP/1.1 200 OK\r\nContent-Length : 0",
	} {
		addr := testutil.StartRawServer(t, func(r *http.Request) (string, bool) {
			_, _ = io.Copy(io.Discard, r.Body)
			return head + "\r\n\r\n", false
		})
		message, err := encodeOrder(addr, native.Order{Kind: native.OrderLeave})
		require.NoError(t, err)
		conn, err := dial(t.Context(), addr)
		require.NoError(t, err)
		defer conn.Close()
		var call *native.CallError
		require.ErrorAs(t, exchange(conn, addr, message), &call, head)
		require.Equal(t, native.MaybeRan, call.Delivery, head)
	}
}
