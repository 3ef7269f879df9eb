package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Thousands of backend servers lose their connections at once and connect again. Guards
// against accepting them faster than their calls can be answered: all calls would be late, and
// the callers would connect again for ever.
func TestConnectionsAreAcceptedAtABoundedRate(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := Paced(tcp.(*net.TCPListener), AcceptRate{PerSecond: 50, Burst: 20, Backlog: 200})
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for range 40 {
			conn, err := net.Dial("tcp", tcp.Addr().String())
			if err == nil {
				defer conn.Close()
			}
		}
	}()
	start := time.Now()
	for range 40 {
		conn, err := l.Accept()
		require.NoError(t, err)
		defer conn.Close()
	}
	require.GreaterOrEqual(t, time.Since(start), 390*time.Millisecond, "20 at once, the others 20 ms apart")
}

// Guards against a listener that cannot be closed while a connection is delayed: the process
// would not end before it is killed.
func TestPacedListenerClosesWhileAcceptWaits(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, err := Paced(tcp.(*net.TCPListener), AcceptRate{PerSecond: 0.001, Burst: 1, Backlog: 4})
	require.NoError(t, err)
	ended := make(chan error)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			conn.Close()
		}
	}()
	for range 2 {
		conn, err := net.Dial("tcp", tcp.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
