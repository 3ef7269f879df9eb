package fleet

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7): after so many milliseconds
// without an acknowledgement the kernel drops the connection and its data.
const tcpUserTimeout = 18

func limitUnacknowledged(conn *net.TCPConn, remaining time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a connection that is closed
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(remaining.Milliseconds(), 1)))
	})
}
