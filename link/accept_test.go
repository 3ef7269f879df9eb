package link

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exhaustedListener fails its first Accept for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	accepts atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it is out of descriptors for a moment: a control
// replica that is flooded with connections would be lost with all its heartbeats.
func TestServerOutlastsLackOfDescriptors(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &exhaustedListener{Listener: tcp}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- NewServer(ServerConfig{}, ServerDeps{}).Serve(ctx, l) }()
	require.Eventually(t, func() bool { return l.accepts.Load() > 1 }, 10*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}
