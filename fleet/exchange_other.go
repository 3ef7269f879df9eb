//go:build !linux

package fleet

import (
	"net"
	"time"
)

// limitUnacknowledged does nothing, as these kernels have no TCP_USER_TIMEOUT. Only
// SettleDelay protects against late delivery on these platforms.
func limitUnacknowledged(*net.TCPConn, time.Duration) {}
