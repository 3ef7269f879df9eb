package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"savoryreel.example/savoryreel/link"
)

// Method is the name of the streams that carry tunnels.
const Method = "entry.tunnel"

// OpenRequest asks an entry to open a connection to a backend server.
type OpenRequest struct {
	Address string        `msgpack:"address"` // host:port of the server
	Timeout time.Duration `msgpack:"timeout"`
}

// Refusal is why an entry has opened no connection.
type Refusal byte

// The refusals.
const (
	// ServerGone: the server takes no connections from an entry that reaches other servers.
	ServerGone Refusal = iota + 1
	// NoPath: the entry does not reach the server, nor others.
	NoPath
	// Busy: the entry carries as many tunnels as it may.
	Busy
	// Leaving: the entry is about to end.
	Leaving
)

var refusalNames = map[Refusal]string{ServerGone: "server gone", NoPath: "no path to servers", Busy: "too many tunnels", Leaving: "leaving"}

// Error returns the refusal's name.
func (r Refusal) Error() string {
	if name, known := refusalNames[r]; known {
		return name
	}
	return fmt.Sprintf("refusal %d", byte(r))
}

// Errors of reads and writes of a Conn.
var (
	// ErrReset: the connection between the carrying entry and the server broke off.
	ErrReset = errors.New("the server's connection broke off behind the tunnel")
	// ErrBrokeOff: the tunnel itself broke off, which says nothing of the server.
	ErrBrokeOff = errors.New("the tunnel broke off")
)

// Conn is a connection to a backend server that another entry carries. It is a net.Conn.
type Conn struct {
	*link.Stream

	leaving func() // called once when the carrying entry says that it leaves; may be nil

	readMu  sync.Mutex
	unread  int   // bytes of the current frame that are not read yet
	readErr error // of all further reads
	left    bool  // a frame of kindLeaving was read

	writeMu  sync.Mutex
	writeBuf []byte
}

// Open asks the entry at peer to open a connection to the backend server of req. ctx bounds the call.
// The error is a Refusal if that entry has answered. leaving is called once when it is about to end.
func Open(ctx context.Context, d *link.StreamDialer, peer string, req OpenRequest, leaving func()) (*Conn, error) {
	s, err := d.Open(ctx, peer, Method, req)
	if err != nil {
		return nil, err
	}
	c := &Conn{Stream: s, leaving: leaving}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	err = c.awaitOpened()
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return c, nil
}

// awaitOpened reads the reply to the request.
func (c *Conn) awaitOpened() error {
	k, n, err := readHeader(c.Stream)
	if err != nil {
		return err
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(c.Stream, payload); err != nil {
		return err
	}
	switch {
	case k == kindOpened:
		return nil
	case k == kindRefused && n == 1:
		return Refusal(payload[0])
	default:
		return errMalformed
	}
}

// Read reads bytes of the server. It returns io.EOF once the server has closed its connection,
// ErrReset if that broke off, and ErrBrokeOff if the tunnel did.
func (c *Conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for c.unread == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		c.readErr = c.nextFrame()
	}
	n, err := c.Stream.Read(p[:min(len(p), c.unread)])
	c.unread -= n
	if err != nil {
		c.unread = 0
		c.readErr = fmt.Errorf("%w: %w", ErrBrokeOff, hideEOF(err))
		return n, c.readErr
	}
	return n, nil
}

// nextFrame reads the header of the next frame, and all of a frame that is no data.
func (c *Conn) nextFrame() error {
	k, n, err := readHeader(c.Stream)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBrokeOff, hideEOF(err))
	}
	switch {
	case k == kindData:
		c.unread = n
		return nil
	case n != 0:
		return errMalformed
	case k == kindEnd:
		return io.EOF
	case k == kindReset:
		return ErrReset
	case k == kindLeaving:
		if !c.left && c.leaving != nil {
			go c.leaving()
		}
		c.left = true
		return nil
	default:
		return errMalformed
	}
}

// hideEOF replaces io.EOF, which readers take for the end of the server's bytes.
func hideEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write sends bytes to the server.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeBuf == nil {
		c.writeBuf = frameBuffer()
	}
	for len(p) > 0 {
		n := copy(c.writeBuf[headerBytes:], p)
		if err := writeFrame(c.Stream, kindData, c.writeBuf, n); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// Idle reports whether a further exchange may begin: the tunnel is open, nothing waits to be read and
// the carrying entry does not leave.
func (c *Conn) Idle() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.readErr == nil && c.unread == 0 && !c.left && c.Stream.Idle()
}
