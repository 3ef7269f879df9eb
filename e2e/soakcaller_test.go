//go:build linux

package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"

	"savoryreel.example/savoryreel/platform/standin"
)

// Bounds of the soak callers. The slowest request that a leaving entry still accepts ends
// within its grace.
const (
	soakConns        = 8                      // of a caller
	soakMaxThink     = 30 * time.Millisecond  // between two requests of a caller
	soakMaxPause     = 100 * time.Millisecond // between the parts of a request
	soakMinPause     = 5 * time.Millisecond   // a reset arrives within that time
	soakMaxSlow      = 1500                   // milliseconds
	soakMaxEvents    = 100                    // of a stream
	soakReadTimeout  = 10 * time.Second
	soakCrossingTime = 200 * time.Millisecond // see soakRequest.violation
)

// soakRequest is a request of a soak caller and how it ended.
type soakRequest struct {
	id, entry, path string

	first bool // on its connection
	// announcedBefore means that an earlier answer announced the close of the connection.
	announcedBefore bool
	sentAt          time.Time // when the last byte was written; zero if that failed
	endedAt         time.Time
	status          int    // 0: no header of an answer arrived
	wrong           string // what is wrong with a complete answer
	announced       bool   // the answer says that the connection closes
	err             error  // why there is no complete answer
	// closedAfterRead means that the entry closed the connection after it had read all of the
	// request that was written until then.
	closedAfterRead bool
}

// violation returns which promise was broken, given how often servers ran the request; empty
// if none.
func (r *soakRequest) violation(runs int) string {
	switch {
	case strings.HasPrefix(r.path, "/web/") && runs > 1:
		return "not idempotent, but was run more than once"
	case r.err == nil && r.refused() && runs > 0:
		return "refused, but was run"
	case r.err == nil && r.refused():
		return ""
	case r.err == nil && r.status != http.StatusOK:
		return "failed"
	case r.err == nil:
		return r.wrong
	case r.status != 0:
		return "truncated"
	case runs > 0:
		return "run, but not answered"
	case r.closedAfterRead:
		return "read, but not answered"
	case !r.sentAt.IsZero() && r.endedAt.Sub(r.sentAt) > soakCrossingTime && !r.neverAccepted():
		return "sent long before the end of its connection, but not answered"
	default:
		return "" // it crossed the close of the connection
	}
}

// String describes the request for a message.
func (r *soakRequest) String() string {
	sent := "not wholly sent"
	if !r.sentAt.IsZero() {
		sent = "sent " + r.sentAt.Format(time.StampMicro)
	}
	return fmt.Sprintf("%s to %s, id %s, %s, ended %s, status %d, first on its connection %t, close announced before %t, closed after read %t, error: %v",
		r.path, r.entry, r.id, sent, r.endedAt.Format(time.StampMicro), r.status, r.first, r.announcedBefore, r.closedAfterRead, r.err)
}

// refused reports a refusal, which means that the request has not run and never will.
func (r *soakRequest) refused() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

// neverAccepted reports whether the process may never have accepted the connection: the
// kernel resets those that are left in the listener's queue.
func (r *soakRequest) neverAccepted() bool {
	return r.first && errors.Is(r.err, syscall.ECONNRESET)
}

// soakCaller sends requests one at a time, on a random one of its connections. It uses each as
// long as it is open, also after the entry has announced its close. Most connections are idle
// for long, so that some requests are the first that a leaving entry gets on theirs.
type soakCaller struct {
	rand     *rand.Rand
	entries  []string
	conns    [soakConns]*soakConn // nil: not connected
	requests []soakRequest
}

// soakConn is an open connection of a soak caller.
type soakConn struct {
	*net.TCPConn
	entry   string
	reader  *bufio.Reader
	used    bool // by a request
	closing bool // the entry has announced that the connection closes
}

// run sends requests until ctx ends; the last one is completed.
func (c *soakCaller) run(ctx context.Context) {
	defer c.disconnect()
	for ; ctx.Err() == nil; time.Sleep(c.duration(0, soakMaxThink)) {
		conn := &c.conns[c.rand.IntN(soakConns)]
		if *conn == nil {
			*conn = c.connect(ctx)
		}
		if *conn == nil {
			continue
		}
		r := c.exchange(*conn)
		c.requests = append(c.requests, r)
		if r.err != nil {
			_ = (*conn).Close() // it is not used any more
			*conn = nil
		}
	}
}

// duration draws a duration.
func (c *soakCaller) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rand.Int64N(int64(to-from)))
}

// connect connects to a random entry and returns nil if that entry is gone.
func (c *soakCaller) connect(ctx context.Context) *soakConn {
	entry := c.entries[c.rand.IntN(len(c.entries))]
	conn, err := (&net.Dialer{Timeout: soakReadTimeout}).DialContext(ctx, "tcp", entry)
	if err != nil {
		return nil
	}
	return &soakConn{TCPConn: conn.(*net.TCPConn), entry: entry, reader: bufio.NewReader(conn)}
}

func (c *soakCaller) disconnect() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close() // it is not used any more
		}
	}
}

// exchange sends a request and reads its answer.
func (c *soakCaller) exchange(conn *soakConn) soakRequest {
	r := soakRequest{id: uuid.NewString(), entry: conn.entry, path: c.choosePath(), first: !conn.used, announcedBefore: conn.closing}
	conn.used = true
	_ = conn.SetDeadline(time.Now().Add(soakReadTimeout)) // fails only on a closed connection
	c.write(conn, &r)
	r.err = conn.read(&r) // there may be an answer even if writing has failed
	r.endedAt = time.Now()
	if r.err != nil {
		time.Sleep(soakMinPause)
		r.closedAfterRead = r.closedAfterRead || conn.isClosedAfterRead()
	}
	conn.closing = conn.closing || r.announced
	return r
}

// choosePath draws an idempotent, non-idempotent, slow or streamed request.
func (c *soakCaller) choosePath() string {
	switch slow := c.rand.IntN(1 + c.rand.IntN(soakMaxSlow)); c.rand.IntN(10) {
	case 0, 1, 2:
		return "/get/x"
	case 3, 4, 5:
		return "/web/x"
	case 6:
		return fmt.Sprintf("/get/slow/%d", slow)
	case 7, 8:
		return fmt.Sprintf("/web/slow/%d", slow)
	default:
		return fmt.Sprintf("/chat/stream/%d", 1+c.rand.IntN(soakMaxEvents))
	}
}

// write writes the request in one to three parts with pauses between them.
func (c *soakCaller) write(conn *soakConn, r *soakRequest) {
	body := soakBody(r.id)
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n",
		r.path, standin.Host, platformKey, r.id, len(body))
	for i, part := range c.split(header, body) {
		if i > 0 {
			time.Sleep(c.duration(soakMinPause, soakMaxPause))
			r.closedAfterRead = r.closedAfterRead || conn.isClosedAfterRead()
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
	r.sentAt = time.Now()
}

// split divides half of the requests within the header, the body or both.
func (c *soakCaller) split(header, body string) []string {
	text := header + body
	inHeader, inBody := 1+c.rand.IntN(len(header)-1), len(header)+c.rand.IntN(len(body))
	switch c.rand.IntN(6) {
	case 0:
		return []string{text[:inHeader], text[inHeader:]}
	case 1:
		return []string{text[:inBody], text[inBody:]}
	case 2:
		return []string{text[:inHeader], text[inHeader:inBody], text[inBody:]}
	default:
		return []string{text}
	}
}

func soakBody(id string) string { return "body of " + id }

// read reads the answer. It returns an error if there is none or it is not complete.
func (c *soakConn) read(r *soakRequest) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.status, r.announced = resp.StatusCode, resp.Close
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if r.status == http.StatusOK && string(body) != r.expectedBody() {
		r.wrong = fmt.Sprintf("wrong answer %q", body)
	}
	return nil
}

// expectedBody returns the body of a server's answer.
func (r *soakRequest) expectedBody() string {
	var events int
	if _, err := fmt.Sscanf(r.path, "/chat/stream/%d", &events); err != nil {
		return soakBody(r.id)
	}
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i+1, i+1)
	}
	return b.String()
}

// isClosedAfterRead reports whether the entry has closed the connection after it had read all
// that was written. The kernel answers what arrives after a close, or is unread at it, with a
// reset, so that the connection doesn't wait for the caller's close. A connection whose close
// was announced is closed on the sending side first, whatever is unread.
func (c *soakConn) isClosedAfterRead() bool {
	const closeWait = 8 // TCP_CLOSE_WAIT of Linux
	raw, err := c.SyscallConn()
	if err != nil || c.closing {
		return false
	}
	var state uint8
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == closeWait
}
