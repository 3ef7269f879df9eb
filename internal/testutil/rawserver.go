package testutil

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// RawAnswer returns the bytes with which a server answers a request, and whether it then resets the connection.
type RawAnswer func(r *http.Request) (answer string, reset bool)

// StartRawServer starts a server that answers each request with bytes of its own as soon as it has read the header,
// and then ends the connection. It returns its address.
func StartRawServer(t *testing.T, answer RawAnswer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serveRaw(c.(*net.TCPConn), answer)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

func serveRaw(c *net.TCPConn, answer RawAnswer) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	text, reset := answer(r)
	if reset {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_, _ = c.Write([]byte(text)) // fails only if the peer has gone
}
