package daemon

import (
	"context"
	"log/slog"
	"net"
	"syscall"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/intake"
)

// Listen opens a TCP listener on address and logs its purpose and address.
func Listen(ctx context.Context, log *slog.Logger, purpose, address string) (net.Listener, error) {
	return listen(ctx, log, &net.ListenConfig{}, purpose, address)
}

// Bounds on the connections that wait to be accepted by a listener for clients.
const (
	// queueFraction of the connections that may be open may wait beside them.
	queueFraction = 0.25
	minQueue      = 64
	maxQueue      = 4096
)

// ListenClients is Listen for clients, whose connections gate bounds: the buffers of their sockets and the queue of
// those that wait to be accepted are bounded as well, since what has arrived there counts as the process's memory.
func ListenClients(ctx context.Context, log *slog.Logger, gate *intake.Gate, address string) (*net.TCPListener, error) {
	l, err := listen(ctx, log, &net.ListenConfig{Control: boundBuffers}, gate.Name(), address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close() // it is not used
		return nil, trace.BadParameter("listener of type %T at %s is not TCP", l, address)
	}
	queue := min(maxQueue, max(minQueue, int(queueFraction*float64(gate.MaxConnections()))))
	if err := setBacklog(tcp, queue); err != nil {
		_ = l.Close() // it is not used
		return nil, err
	}
	return tcp, nil
}

func listen(ctx context.Context, log *slog.Logger, config *net.ListenConfig, purpose, address string) (net.Listener, error) {
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "step=listen purpose=%s address=%s", purpose, address)
	}
	event.Log(ctx, log, slog.LevelInfo, event.ListenerOpen, slog.String("purpose", purpose), slog.String("address", l.Addr().String()))
	return l, nil
}

// boundBuffers sets the sizes of a listener's socket buffers, which its connections inherit.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			if setErr == nil {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, intake.SocketBuffer)
			}
		}
	})
	if err == nil {
		err = setErr
	}
	return trace.Wrap(err, "step=bound socket buffers")
}

// setBacklog bounds the connections that wait to be accepted.
func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return trace.Wrap(err, "step=access listener address=%s", l.Addr())
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	if err == nil {
		err = listenErr
	}
	return trace.Wrap(err, "step=set backlog address=%s", l.Addr())
}
