package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type echoRequest struct {
	Text string `msgpack:"text"`
}

// serveEcho serves streams that send back the request's text and then all bytes.
func serveEcho(t *testing.T, key string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(ServerConfig{Self: PeerInfo{ID: "server"}, ClusterKey: []byte(key), HeartbeatTimeout: 200 * time.Millisecond}, ServerDeps{})
	HandleStream(s, "echo", func(_ context.Context, from PeerInfo, req echoRequest, st *Stream) {
		_, _ = st.Write([]byte(from.ID + " " + req.Text + "\n"))
		_, _ = io.Copy(struct{ io.Writer }{st}, struct{ io.Reader }{st})
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

func newStreamDialer(key string) *StreamDialer {
	return &StreamDialer{
		Self: PeerInfo{ID: "client"}, ClusterKey: []byte(key), Traffic: NewTraffic(nil),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
}

// Guards against a stream that ends when nothing is sent for the time after which a link counts as
// lost, and against bytes that are lost between handshake and stream.
func TestStreamCarriesBytesAfterAPause(t *testing.T) {
	addr := serveEcho(t, "key")
	st, err := newStreamDialer("key").Open(t.Context(), addr, "echo", echoRequest{Text: "hello"})
	require.NoError(t, err)
	defer st.Close()
	buf := make([]byte, 64)
	n, err := io.ReadFull(st, buf[:len("client hello\n")])
	require.NoError(t, err)
	require.Equal(t, "client hello\n", string(buf[:n]))
	require.True(t, st.Idle())
	time.Sleep(500 * time.Millisecond)
	_, err = st.Write([]byte("later"))
	require.NoError(t, err)
	n, err = io.ReadFull(st, buf[:len("later")])
	require.NoError(t, err)
	require.Equal(t, "later", string(buf[:n]))
}

// Guards against streams for processes of another cluster, and for methods that nobody handles.
func TestStreamIsRefused(t *testing.T) {
	addr := serveEcho(t, "key")
	_, err := newStreamDialer("other").Open(t.Context(), addr, "echo", echoRequest{})
	require.ErrorIs(t, err, ErrUnreachable)
	require.ErrorIs(t, err, ErrWrongKey)
	st, err := newStreamDialer("key").Open(t.Context(), addr, "unknown", echoRequest{})
	require.NoError(t, err)
	defer st.Close()
	_, err = st.Read(make([]byte, 1))
	require.Error(t, err)
}
