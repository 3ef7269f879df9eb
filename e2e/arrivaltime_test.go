package e2e

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// timedListener accepts connections that know when their bytes arrived, however long this process took
// to read them.
type timedListener struct{ net.Listener }

func newTimedListener(l net.Listener) net.Listener { return timedListener{l} }

func (l timedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: c.(*net.TCPConn)}, nil
}

// timedConn is a connection with the arrival time of the newest bytes at the last read. Its peer sends
// one request at a time, so that these are the bytes that were read.
type timedConn struct {
	*net.TCPConn
	last atomic.Int64 // Unix nanoseconds
}

func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.last.Store(c.newestArrival().UnixNano())
	}
	return n, err
}

// newestArrival returns when the kernel received the newest bytes of the connection, of which it knows
// the age. The end of the connection, which may have arrived since, does not count.
func (c *timedConn) newestArrival() (at time.Time) {
	const precision = 5 * time.Millisecond // of the kernel's clock
	raw, err := c.SyscallConn()
	if err != nil {
		return time.Now()
	}
	err = raw.Control(func(fd uintptr) {
		for {
			before := time.Now()
			info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if infoErr != nil {
				at = time.Now()
				return
			}
			if after := time.Now(); after.Sub(before) < precision { // else this thread was paused in between
				at = after.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
				return
			}
		}
	})
	if err != nil {
		return time.Now() // the connection is closed
	}
	return at
}

// kernelArrival returns when the bytes that were read last from a timedConn arrived.
func kernelArrival(c net.Conn) time.Time { return time.Unix(0, c.(*timedConn).last.Load()) }

// Guards against an audit that takes its own delay for the product's: a request is read late by a busy
// test process, and the time at which it arrived must be that of its bytes, also on a connection that
// is used again, and if its caller has closed the connection before it is read.
func TestArrivalTimeIsThatOfTheBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	timed := newTimedListener(l)
	defer timed.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := timed.Accept()
	require.NoError(t, err)
	defer server.Close()
	const delay, precision = 300 * time.Millisecond, 20 * time.Millisecond
	for _, closed := range []bool{false, false, true} {
		before := time.Now().Round(0)
		_, err = client.Write([]byte("request"))
		require.NoError(t, err)
		after := time.Now().Round(0)
		time.Sleep(delay)
		if closed {
			require.NoError(t, client.Close())
			time.Sleep(delay)
		}
		n, err := server.Read(make([]byte, 64))
		require.NoError(t, err)
		require.Equal(t, len("request"), n)
		require.False(t, kernelArrival(server).Before(before.Add(-precision)))
		require.False(t, kernelArrival(server).After(after.Add(precision)))
	}
	require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, server.SetReadDeadline(time.Now()))
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
