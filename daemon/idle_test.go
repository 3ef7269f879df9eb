package daemon

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"
)

// Guards against connections that backend servers leave behind when a heartbeat was
// acknowledged late: a replica would run out of descriptors, and heartbeats of all servers
// would fail.
func TestIdleConnectionIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var g run.Group
	EndWith(ctx, &g)
	ServeIdle(&g, l, http.NotFoundHandler(), testGate(), time.Second, 50*time.Millisecond, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { ended <- g.Run() }()
	defer func() { cancel(); <-ended }()

	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
