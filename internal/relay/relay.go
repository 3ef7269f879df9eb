// Package relay is a small TCP relay for tests. It stands between two ends and
// can cut their connections, delay what they send, or go silent: forward
// nothing more on the open connections while new ones work.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const bufferSize = 16 << 10

// Relay forwards connections made to Addr to one target.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // nanoseconds before each forwarded chunk
	wg       sync.WaitGroup

	mu     sync.Mutex // guards pipes and done
	pipes  map[*pipe]struct{}
	closed bool
}

// pipe is one relayed connection.
type pipe struct {
	client, upstream net.Conn
	silent           atomic.Bool
}

// New starts a relay on a free loopback port towards target (host:port).
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, pipes: make(map[*pipe]struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr is the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Silence makes the connections that are open now swallow all that either end
// sends, without closing. Connections made later work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.silent.Store(true)
	}
}

// Cut closes the connections that are open now.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.close()
	}
}

// Delay holds back each chunk forwarded from now on for d.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Open returns the number of open connections.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pipes)
}

// Close ends the relay and waits for its goroutines.
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

// copy forwards from src to dst until either ends. A silent pipe goes on
// reading, so that the sender's writes succeed, as they do when a device on the
// way drops packets and the sender's kernel still buffers. It doesn't pass on
// that an end has closed either: the other end must find out by itself.
func (r *Relay) copy(p *pipe, dst, src net.Conn) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if err != nil && p.silent.Load() {
			return
		}
		if err != nil {
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
