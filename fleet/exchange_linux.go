package fleet

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7): if data stays unacknowledged for
// this many milliseconds, the kernel closes the connection and drops the data.
const tcpUserTimeout = 18

func limitUnacknowledged(conn *net.TCPConn, remaining time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(remaining.Milliseconds(), 1)))
	})
}
