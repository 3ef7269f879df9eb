package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/testutil"
	"savoryreel.example/savoryreel/link"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testKey = "key"

// carrier is an entry that carries tunnels.
type carrier struct {
	*Server
	addr string
	stop context.CancelFunc // as the end of the process does
	done chan error
}

func startCarrier(t *testing.T, dial func(ctx context.Context, addr string) (net.Conn, error)) *carrier {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	c := &carrier{Server: NewServer(metrics.NewSet(), dial), addr: l.Addr().String(), stop: stop, done: make(chan error, 1)}
	srv := link.NewServer(link.ServerConfig{Self: link.PeerInfo{ID: "carrier"}, ClusterKey: []byte(testKey)}, link.ServerDeps{})
	c.Register(srv)
	go func() { c.done <- srv.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-c.done)
	})
	return c
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// open opens a tunnel through the carrier.
func (c *carrier) open(t *testing.T, server string, leaving func()) (*Conn, error) {
	t.Helper()
	d := &link.StreamDialer{Self: link.PeerInfo{ID: "entry"}, ClusterKey: []byte(testKey), Traffic: link.NewTraffic(nil), Dial: dialTCP}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	conn, err := Open(ctx, d, c.addr, OpenRequest{Address: server, Timeout: time.Second}, leaving)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}

// startServer starts a backend server that handles one connection.
func startServer(t *testing.T, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		handle(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// Guards against bytes that are lost, doubled or joined wrongly on their way through another entry, of
// requests and answers larger than a frame.
func TestTunnelCarriesAllBytes(t *testing.T) {
	request, answer := bytes.Repeat([]byte("request"), 20_000), bytes.Repeat([]byte("an answer"), 20_000)
	got := make(chan []byte, 1)
	server := startServer(t, func(c *net.TCPConn) {
		buf := make([]byte, len(request))
		_, _ = io.ReadFull(c, buf)
		got <- buf
		_, _ = c.Write(answer)
	})
	conn, err := startCarrier(t, dialTCP).open(t, server, nil)
	require.NoError(t, err)
	require.True(t, conn.Idle())
	_, err = conn.Write(request)
	require.NoError(t, err)
	require.Equal(t, request, <-got)
	received, err := io.ReadAll(conn)
	require.NoError(t, err, "the server has closed its connection in an orderly way")
	require.Equal(t, answer, received)
	require.False(t, conn.Idle())
}

// Guards against an answer without a length that looks complete although the server's connection was
// reset, or the process that carried it has ended.
func TestTunnelTellsHowTheAnswerEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(server *net.TCPConn, c *carrier)
		want error
	}{
		{"closed", func(server *net.TCPConn, _ *carrier) { _ = server.Close() }, nil},
		{"reset", func(server *net.TCPConn, _ *carrier) { _ = server.SetLinger(0); _ = server.Close() }, ErrReset},
		{"carrier ended", func(_ *net.TCPConn, c *carrier) { c.stop(); <-t.Context().Done() }, ErrBrokeOff},
	} {
		t.Run(c.name, func(t *testing.T) {
			carrier := startCarrier(t, dialTCP)
			goOn := make(chan struct{})
			server := startServer(t, func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte("half"))
				<-goOn
				c.end(conn, carrier)
			})
			conn, err := carrier.open(t, server, nil)
			require.NoError(t, err)
			buf := make([]byte, 4)
			_, err = io.ReadFull(conn, buf)
			require.NoError(t, err)
			close(goOn)
			_, err = io.ReadAll(conn)
			if c.want == nil {
				require.NoError(t, err)
			} else {
				require.True(t, errors.Is(err, c.want) || errors.Is(err, ErrReset), "%v", err)
				require.NotErrorIs(t, err, io.EOF)
			}
		})
	}
}

// Guards against servers that work on for a caller who has left: closing the tunnel closes the server's
// connection.
func TestClosedTunnelClosesTheServersConnection(t *testing.T) {
	ended := make(chan error, 1)
	server := startServer(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	conn, err := startCarrier(t, dialTCP).open(t, server, nil)
	require.NoError(t, err)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("the server's connection is still open")
	}
}

// Guards against an entry that takes a server for gone because another one doesn't reach it either.
func TestRefusalSaysWhoseFaultItIs(t *testing.T) {
	for _, want := range []Refusal{ServerGone, NoPath, Busy, Leaving} {
		c := startCarrier(t, func(context.Context, string) (net.Conn, error) { return nil, want })
		if want == Leaving {
			c.Leave()
		}
		_, err := c.open(t, "127.0.0.1:1", nil)
		require.ErrorIs(t, err, want)
	}
	c := startCarrier(t, func(context.Context, string) (net.Conn, error) { return nil, io.EOF })
	_, err := c.open(t, "127.0.0.1:1", nil)
	require.ErrorIs(t, err, NoPath, "an error that nobody has judged")
}

// Guards against answers that are cut off when the entry that carries them stops as planned: it ends only
// after them, and no further exchange begins on its tunnels meanwhile.
func TestStopOfTheCarrierCutsNoAnswerOff(t *testing.T) {
	goOn := make(chan struct{})
	server := startServer(t, func(c *net.TCPConn) {
		<-goOn
		_, _ = c.Write([]byte("answer"))
	})
	c := startCarrier(t, dialTCP)
	var left atomic.Bool
	conn, err := c.open(t, server, func() { left.Store(true) })
	require.NoError(t, err)
	c.Leave()
	drained := make(chan struct{})
	go func() {
		c.Drain(t.Context())
		close(drained)
	}()
	require.Eventually(t, func() bool { return !conn.Idle() }, 3*time.Second, time.Millisecond)
	select {
	case <-drained:
		t.Fatal("drained with an answer under way")
	case <-time.After(50 * time.Millisecond):
	}
	close(goOn)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "answer", string(answer))
	require.Eventually(t, left.Load, 3*time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	<-drained
}

// Guards against an entry that runs out of descriptors because it helps many others.
func TestTunnelsAreBounded(t *testing.T) {
	s := NewServer(metrics.NewSet(), nil)
	for range MaxTunnels {
		require.Zero(t, s.add(&carried{}))
	}
	require.Equal(t, Busy, s.add(&carried{}))
}

// Guards against a peer that sends frames without bound, or none of this protocol.
func TestMalformedFramesAreRefused(t *testing.T) {
	for _, b := range [][]byte{{1, 0xff, 0, 0, 0}, {1, 0, 0xff, 0, 0}} {
		_, _, err := readHeader(bytes.NewReader(b))
		require.ErrorIs(t, err, errMalformed)
	}
	_, _, err := readHeader(bytes.NewReader([]byte{1}))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
