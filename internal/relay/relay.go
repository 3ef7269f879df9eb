// Package relay provides a TCP relay for tests. It can close connections, delay
// data, or silently drop data on the open connections while new ones work.
package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const bufferSize = 16 << 10

// Relay forwards connections made to Addr to one target.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // nanoseconds before each forwarded chunk
	wg       sync.WaitGroup

	mu     sync.Mutex // guards pipes and closed
	pipes  map[*pipe]struct{}
	closed bool
}

// pipe is one relayed connection: the accepted one and the one to the target.
type pipe struct {
	client, upstream net.Conn
	silent           atomic.Bool
}

// New starts a relay from a free loopback port to target (host:port).
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, pipes: make(map[*pipe]struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the relay's listen address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence drops all further data on the connections that are open now, without
// closing them. Connections made later are relayed as usual.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.silent.Store(true)
	}
}

// Cut closes the connections that are open now. The relay still accepts new ones.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.close()
	}
}

// Delay delays each chunk forwarded from now on by d.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pipes)
}

// Close stops the listener, closes all connections and waits for the relay's
// goroutines.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pipes {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.serve(&pipe{client: client, upstream: upstream})
	}
}

func (r *Relay) serve(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return
	}
	r.pipes[p] = struct{}{}
	r.wg.Go(func() { r.copy(p, p.upstream, p.client) })
	r.wg.Go(func() { r.copy(p, p.client, p.upstream) })
}

// copy forwards data from src to dst until either closes. A silenced pipe is
// still read, so that the sender's writes succeed, as they do while a network
// device drops packets and the sender's kernel buffers. A close isn't forwarded
// on a silenced pipe: the other end has to detect it by a timeout.
func (r *Relay) copy(p *pipe, dst, src net.Conn) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if err != nil && p.silent.Load() {
			return
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				_ = dst.(*net.TCPConn).SetLinger(0) // a reset is passed on; fails only on a closed connection
			}
			r.remove(p)
			return
		}
		if p.silent.Load() {
			continue
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if _, err := dst.Write(buf[:n]); err != nil {
			r.remove(p)
			return
		}
	}
}

func (r *Relay) remove(p *pipe) {
	p.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pipes, p)
}

func (p *pipe) close() {
	p.client.Close()
	p.upstream.Close()
}
