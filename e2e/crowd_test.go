//go:build crowd

package e2e

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The machine of a process in these tests, and the crowd. The crowd's bodies take more than twice the memory,
// and its connections, where it only connects, are more than the descriptors.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 600
	crowdSize        = 200
	crowdConnections = 900
	crowdBodyBytes   = 1 << 20
	// endlessBodyBytes is what a client sends that stops at no limit.
	endlessBodyBytes = 16 << 20
	// endlessHeaderBytes are below the smallest limit on a header.
	endlessHeaderBytes = 15 << 10
	// crowdRetries is how often a client connects again that was closed before it had sent all.
	crowdRetries = 3
	// crowdStill is how long no client of a crowd sends a byte until all are taken to have stopped.
	crowdStill = time.Second
	// crowdTime bounds how long a crowd sends.
	crowdTime = 40 * time.Second
)

// crowdKind is what each client of a crowd sends.
type crowdKind struct {
	clients int    // 0: crowdSize
	silent  bool   // a client only connects
	unended bool   // the request's header does not end
	header  string // the request's last field
	piece   int    // bytes of the body in a piece
	total   int    // bytes of the body that are sent
	chunked bool   // each piece is a chunk
	write   int    // bytes in a write, 0: a piece
}

// The framings of crowds' bodies.
var (
	announcedBody = fmt.Sprintf("Content-Length: %d", crowdBodyBytes)
	announcedHuge = fmt.Sprintf("Content-Length: %d", 1<<30)
	chunkedBody   = "Transfer-Encoding: chunked"
)

// The ways to send that issue 76 names, and connections without a request. Only the first ends its body.
var (
	kindWhole              = crowdKind{header: announcedBody, piece: crowdBodyBytes, total: crowdBodyBytes}
	kindStopsShort         = crowdKind{header: announcedBody, piece: 64 << 10, total: crowdBodyBytes - 1}
	kindSmallPieces        = crowdKind{header: announcedBody, piece: 1400, total: crowdBodyBytes - 1}
	kindLargeChunks        = crowdKind{header: chunkedBody, piece: 64 << 10, total: crowdBodyBytes - 1, chunked: true}
	kindTinyChunks         = crowdKind{header: chunkedBody, piece: 1, total: crowdBodyBytes - 1, chunked: true, write: 64 << 10}
	kindAnnouncedOverLimit = crowdKind{header: announcedHuge, piece: 64 << 10, total: endlessBodyBytes}
	kindChunksOverLimit    = crowdKind{header: chunkedBody, piece: 64 << 10, total: endlessBodyBytes, chunked: true}
	kindOnlyConnects       = crowdKind{clients: crowdConnections, silent: true}
	kindEndlessHeader      = crowdKind{clients: crowdConnections, header: "X-Endless: " + strings.Repeat("x", endlessHeaderBytes), unended: true}
)

// buffer returns what a client writes at once, and how many bytes of a body are in it.
func (k *crowdKind) buffer() (b []byte, bodyBytes int) {
	one := bytes.Repeat([]byte{'x'}, k.piece)
	if k.chunked {
		one = fmt.Appendf(nil, "%x\r\n%s\r\n", k.piece, one)
	}
	pieces := max(1, k.write/len(one))
	return bytes.Repeat(one, pieces), pieces * k.piece
}

// last returns the bytes after the last whole buffer, of a body of n more bytes.
func (k *crowdKind) last(n int) []byte {
	switch {
	case n == 0:
		return nil
	case k.chunked && k.piece == 1:
		return bytes.Repeat([]byte("1\r\nx\r\n"), n)
	case k.chunked:
		return fmt.Appendf(nil, "%x\r\n%s\r\n", n, bytes.Repeat([]byte{'x'}, n))
	default:
		return bytes.Repeat([]byte{'x'}, n)
	}
}

// crowd is a set of clients that send to one address and stay open.
type crowd struct {
	size    int
	addr    string
	request string // request line and fields, without those of the body's framing
	kind    crowdKind

	sent    atomic.Int64 // bytes
	ended   atomic.Int64 // clients that send no more
	stopped chan struct{}
	clients sync.WaitGroup
}

// startCrowd starts the clients. They stay connected until the test ends.
func startCrowd(t *testing.T, addr, request string, kind crowdKind) *crowd {
	c := &crowd{size: cmp.Or(kind.clients, crowdSize), addr: addr, request: request, kind: kind, stopped: make(chan struct{})}
	for range c.size {
		c.clients.Go(c.run)
	}
	t.Cleanup(func() {
		close(c.stopped)
		c.clients.Wait()
	})
	return c
}

// run is one client.
func (c *crowd) run() {
	var nc net.Conn
	for range 1 + crowdRetries {
		if nc != nil {
			_ = nc.Close()
		}
		var err error
		if nc, err = net.DialTimeout("tcp", c.addr, crowdTime); err != nil {
			continue
		}
		stop := make(chan struct{})
		go func() {
			select {
			case <-c.stopped:
				_ = nc.Close()
			case <-stop:
			}
		}()
		err = c.send(nc)
		close(stop)
		if err == nil {
			break
		}
	}
	c.ended.Add(1)
	<-c.stopped
	if nc != nil {
		_ = nc.Close()
	}
}

// send sends the request, without reading the answer.
func (c *crowd) send(nc net.Conn) error {
	if c.kind.silent {
		return nil
	}
	if c.kind.unended {
		return c.write(nc, []byte(c.request+c.kind.header))
	}
	if err := c.write(nc, []byte(c.request+c.kind.header+"\r\n\r\n")); err != nil {
		return err
	}
	b, bodyBytes := c.kind.buffer()
	left := c.kind.total
	for ; left >= bodyBytes; left -= bodyBytes {
		if err := c.write(nc, b); err != nil {
			return err
		}
	}
	return c.write(nc, c.kind.last(left))
}

func (c *crowd) write(nc net.Conn, b []byte) error {
	n, err := nc.Write(b)
	c.sent.Add(int64(n))
	return err
}

// awaitStill waits until all clients have ended or are stopped by flow control.
func (c *crowd) awaitStill(during func()) {
	end := time.Now().Add(crowdTime)
	last, since := int64(-1), time.Now()
	for time.Now().Before(end) && time.Since(since) < crowdStill {
		during()
		if sent := c.sent.Load() + c.ended.Load(); sent != last {
			last, since = sent, time.Now()
		}
		if c.ended.Load() == int64(c.size) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// crowdSite is a running system with one listener that a crowd comes to.
type crowdSite struct {
	process  *process
	addr     string
	request  string       // that the crowd sends, without its framing
	ordinary func() error // a request of an ordinary client to the same listener; nil once it is served
	// further is a request with a body of crowdBodyBytes, or a change of the catalogue; nil: none.
	further func() error
}

// largeBody returns a request with a body of crowdBodyBytes.
func largeBody(fields string) string {
	return fields + announcedBody + "\r\n\r\n" + strings.Repeat("x", crowdBodyBytes)
}

func header(lines ...string) string { return strings.Join(lines, "\r\n") + "\r\n" }

// readLine sends a request on a connection of its own and returns the status line of the answer.
func readLine(addr, request string) (string, error) {
	nc, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := nc.Write([]byte(request)); err != nil {
		return "", err
	}
	return bufio.NewReader(nc).ReadString('\n')
}

// served returns nil if the answer to a request has status 200.
func served(addr, request string) error {
	line, err := readLine(addr, request)
	if err == nil && !strings.HasPrefix(line, "HTTP/1.1 200") {
		err = fmt.Errorf("answer %q", line)
	}
	return err
}
