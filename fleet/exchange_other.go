//go:build !linux

package fleet

import (
	"net"
	"time"
)

// limitUnacknowledged does nothing where the kernel has no bound on data that is
// not acknowledged: there, only Settle covers it.
func limitUnacknowledged(*net.TCPConn, time.Duration) {}
