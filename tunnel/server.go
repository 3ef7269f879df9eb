package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/link"
)

// MaxTunnels bounds the tunnels that an entry carries. Each takes two descriptors.
const MaxTunnels = 500

// maxOpenTimeout bounds how long a connection to a server may take, whatever the request says.
const maxOpenTimeout = 2 * time.Second

// Server carries tunnels of other entries.
type Server struct {
	dial func(ctx context.Context, addr string) (net.Conn, error)
	set  *metrics.Set

	mu       sync.Mutex
	carried  map[*carried]struct{}
	leaving  bool
	finished chan struct{} // receives a value after a tunnel has ended while leaving
}

// NewServer returns a Server. dial opens a connection to a backend server on this entry's own path;
// its error is a Refusal.
func NewServer(set *metrics.Set, dial func(ctx context.Context, addr string) (net.Conn, error)) *Server {
	s := &Server{dial: dial, set: set, carried: make(map[*carried]struct{}), finished: make(chan struct{}, 1)}
	set.NewGauge("savoryreel_tunnels_carried", func() float64 { return float64(s.count()) })
	return s
}

// Register makes srv accept tunnels.
func (s *Server) Register(srv *link.Server) { link.HandleStream(srv, Method, s.handle) }

func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.carried)
}

// handle opens a connection to a server and passes bytes on until either end closes.
func (s *Server) handle(ctx context.Context, _ link.PeerInfo, req OpenRequest, st *link.Stream) {
	c := &carried{stream: st, buf: make([]byte, headerBytes+1)}
	refusal := s.add(c)
	if refusal != 0 {
		s.refuse(c, refusal)
		return
	}
	defer s.remove(c)
	dialCtx, cancel := context.WithTimeout(ctx, min(req.Timeout, maxOpenTimeout))
	server, err := s.dial(dialCtx, req.Address)
	cancel()
	if err != nil {
		refusal = NoPath
		_ = errors.As(err, &refusal) // otherwise NoPath
		s.refuse(c, refusal)
		return
	}
	defer server.Close()
	s.countOpened("opened")
	if c.send(kindOpened, 0) != nil {
		return // the other entry has gone
	}
	c.carry(ctx, server)
}

func (s *Server) refuse(c *carried, r Refusal) {
	s.countOpened(r.Error())
	c.buf[headerBytes] = byte(r)
	_ = c.send(kindRefused, 1) // the other entry has gone if it fails
}

func (s *Server) countOpened(result string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("savoryreel_tunnel_requests_total{result=%q}", result)).Inc()
}

// add adds a tunnel, or returns why there can be none.
func (s *Server) add(c *carried) Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return Leaving
	case len(s.carried) >= MaxTunnels:
		return Busy
	}
	s.carried[c] = struct{}{}
	return 0
}

func (s *Server) remove(c *carried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.carried, c)
	if !s.leaving {
		return
	}
	select {
	case s.finished <- struct{}{}:
	default:
	}
}

func (s *Server) all() []*carried {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*carried, 0, len(s.carried))
	for c := range s.carried {
		list = append(list, c)
	}
	return list
}

// Leave refuses further tunnels, and notifies the entries whose tunnels are open that they may begin no
// further exchange on them.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for _, c := range s.all() {
		go func() { _ = c.send(kindLeaving, 0) }() // a peer that doesn't read must not hold up the rest
	}
}

// Drain waits until no tunnel is open, at most until ctx ends. Call Leave before.
func (s *Server) Drain(ctx context.Context) {
	for s.count() > 0 {
		select {
		case <-s.finished:
		case <-ctx.Done():
			return
		}
	}
}

// CloseAll closes all tunnels: this entry's path to the servers is lost, and whoever uses them
// would wait in vain.
func (s *Server) CloseAll() {
	for _, c := range s.all() {
		_ = c.stream.Close()
	}
}

// carried is one tunnel at the entry that carries it.
type carried struct {
	stream *link.Stream

	// unsent: a write to the server has begun and not succeeded. The kernel reports a reset to one call
	// only: after a write that has failed by it, a read returns io.EOF.
	unsent atomic.Bool

	mu  sync.Mutex // guards writes and buf
	buf []byte
}

// send writes a frame whose payload are the n bytes of buf after headerBytes.
func (c *carried) send(k kind, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return writeFrame(c.stream, k, c.buf, n)
}

// carry passes bytes on until either end closes.
func (c *carried) carry(ctx context.Context, server net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var toServer sync.WaitGroup
	toServer.Go(func() {
		// The peer has closed the tunnel, or it broke off: the server's connection is closed at
		// once, which cancels what runs there.
		defer server.Close()
		_ = c.copyToServer(server) // the peer learns by the end of the tunnel
	})
	c.copyFromServer(server)
	_ = c.stream.Close()
	toServer.Wait()
}

// copyToServer passes on the bytes of the peer.
func (c *carried) copyToServer(server net.Conn) error {
	buf := make([]byte, maxPayload)
	for {
		k, n, err := readHeader(c.stream)
		if err != nil {
			return err
		}
		if k != kindData {
			return errMalformed
		}
		if _, err := io.ReadFull(c.stream, buf[:n]); err != nil {
			return err
		}
		c.unsent.Store(true)
		if _, err := server.Write(buf[:n]); err != nil {
			return err
		}
		c.unsent.Store(false)
	}
}

// copyFromServer passes on the bytes of the server and how its connection ends.
func (c *carried) copyFromServer(server net.Conn) {
	buf := frameBuffer()
	for {
		n, err := server.Read(buf[headerBytes:])
		if n > 0 && c.sendBytes(buf, n) != nil {
			return // the peer has gone
		}
		switch {
		case errors.Is(err, io.EOF) && !c.unsent.Load():
			_ = c.send(kindEnd, 0) // the peer has gone if it fails
			return
		case err != nil:
			_ = c.send(kindReset, 0) // the same
			return
		}
	}
}

func (c *carried) sendBytes(buf []byte, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return writeFrame(c.stream, kindData, buf, n)
}
