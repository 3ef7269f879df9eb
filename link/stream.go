package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Stream is a connection of two processes that one exchange has for itself, unlike the links that
// carry many calls. Both ends have proved in the handshake that they hold the cluster key. It is a
// net.Conn; what it carries after the request is up to the two ends.
type Stream struct {
	net.Conn
	br *bufio.Reader
}

// Read reads what the peer has sent after the handshake.
func (s *Stream) Read(p []byte) (int, error) { return s.br.Read(p) }

// Idle reports whether the connection is open and no byte of the peer waits to be read.
func (s *Stream) Idle() bool { return s.br.Buffered() == 0 && OpenAndEmpty(s.Conn) }

// OpenAndEmpty reports whether a connection is open and its socket has no unread bytes. It is true
// for connections that are no sockets.
func OpenAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true // don't block
	})
	return err == nil && noData
}

// StreamDialer opens streams.
type StreamDialer struct {
	Self       PeerInfo
	ClusterKey []byte
	Traffic    *Traffic
	// Dial opens the connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Open opens a stream to the process at addr, which handles it by the function registered for method
// (see HandleStream), with req. ctx bounds the handshake only.
func (d *StreamDialer) Open(ctx context.Context, addr, method string, req any) (*Stream, error) {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request of %s: %w", method, err)
	}
	nc, err := d.Dial(ctx, addr)
	if err != nil {
		return nil, &CallError{Method: method, Step: StepDial, Peer: addr, Kind: ErrUnreachable, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	c := &conn{nc: nc, br: bufio.NewReader(nc), maxFrame: DefaultMaxFrame, traffic: d.Traffic}
	err = c.requestStream(d.Self, d.ClusterKey, method, body)
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		_ = nc.Close()
		return nil, &CallError{Method: method, Step: StepHello, Peer: addr, Kind: ErrUnreachable, Cause: err}
	}
	return &Stream{Conn: nc, br: c.br}, nil
}

// requestStream runs the handshake of the dialling end of a stream. The request follows the proof at
// once, which saves a round trip.
func (c *conn) requestStream(self PeerInfo, key []byte, method string, body []byte) error {
	if _, err := c.proveDialler(kindStreamHello, self, key); err != nil {
		return err
	}
	buf, err := appendFrame(nil, frame{kind: kindRequest, method: method, body: body}, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(buf); err != nil {
		return err
	}
	c.traffic.sent(method, len(buf))
	_, err = c.handshakeReceive(kindWelcome)
	return err
}

// streamHandler handles a stream; the connection is closed when it returns.
type streamHandler func(ctx context.Context, from PeerInfo, body []byte, s *Stream)

// HandleStream registers fn for streams of method; it replaces an earlier fn. The context of fn ends
// with the server; the stream is closed when fn returns.
func HandleStream[Req any](s *Server, method string, fn func(ctx context.Context, from PeerInfo, req Req, st *Stream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamHandlers[method] = func(ctx context.Context, from PeerInfo, body []byte, st *Stream) {
		var req Req
		if err := Unmarshal(body, &req); err != nil {
			s.log.Warn("stream refused", "method", method, "peer", from.ID, "err", err)
			return
		}
		fn(ctx, from, req, st)
	}
}

// serveStream handles a stream whose handshake is done.
func (s *Server) serveStream(ctx context.Context, c *conn, peer PeerInfo) {
	f, size, err := readFrame(c.br, maxHandshakeBytes)
	s.mu.RLock()
	handler := s.streamHandlers[f.method]
	s.mu.RUnlock()
	if err == nil && (f.kind != kindRequest || handler == nil) {
		err = fmt.Errorf("stream of %q: %w", f.method, ErrMalformed)
	}
	if err != nil {
		if !errors.Is(err, io.EOF) {
			s.log.Warn("stream refused", "peer", peer.ID, "err", err)
		}
		return
	}
	c.traffic.received(f.method, size)
	buffered, _ := c.br.Peek(c.br.Buffered()) // never fails for so many
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		return // the connection is closed
	}
	// c.br applies the heartbeat timeout, which a stream doesn't have.
	br := bufio.NewReader(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.nc))
	handler(ctx, peer, f.body, &Stream{Conn: c.nc, br: br})
}
