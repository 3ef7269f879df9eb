package tunnel

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// resetConn is a connection to a server that has answered with a few bytes and reset the connection. The write has got
// the reset, so that the read ends as at an orderly end.
type resetConn struct {
	net.Conn
	answer chan []byte   // the bytes of the answer
	failed chan struct{} // closed when the write has failed
}

// Read reads the answer, and its end once the write has failed.
func (c *resetConn) Read(p []byte) (int, error) {
	select {
	case b := <-c.answer:
		return copy(p, b), nil
	case <-c.failed:
		return 0, io.EOF
	}
}

// Write fails.
func (c *resetConn) Write([]byte) (int, error) {
	defer close(c.failed)
	return 0, syscall.ECONNRESET
}

// Guards against a part of an answer that passes for the whole behind a tunnel: the server resets its connection while
// the request is still being written.
func TestTunnelTellsOfResetUnderUpload(t *testing.T) {
	server := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	conn, err := startCarrier(t, func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dialTCP(ctx, addr)
		reset := &resetConn{Conn: c, answer: make(chan []byte, 1), failed: make(chan struct{})}
		reset.answer <- []byte("part")
		return reset, err
	}).open(t, server, nil)
	require.NoError(t, err)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	body, err := io.ReadAll(conn)
	require.ErrorIs(t, err, ErrReset, "%q", body)
}
