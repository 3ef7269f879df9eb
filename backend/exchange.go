package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"savoryreel.example/savoryreel/response"
)

// Call is a request to a server.
type Call struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	// Header is called once a connection is open, which may take a while: it may say how much time
	// is left. Its result is not modified, and must not be modified during the call.
	Header func() http.Header
	Body   []byte
	// Repeatable says that the call may be sent again although it may have run.
	Repeatable bool

	// Matches reports whether an answer with this header answers this call; nil
	// accepts every answer. A faulty server may repeat an answer, and the copy would
	// be read as the answer of the next call on the connection.
	Matches func(http.Header) bool

	// MaySend is asked once a connection is open, which may take a while; nil allows the
	// call. If it returns false, nothing is sent and the call fails with ErrWithdrawn.
	MaySend func() bool
}

// ErrWithdrawn is the cause of a call that Call.MaySend has stopped.
var ErrWithdrawn = errors.New("withdrawn before it was sent")

// Answer is a server's answer whose header has been read. The caller must close it.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes, -1 if unknown
	// EndsWithConnection reports that the body has neither length nor chunks: it ends where the server
	// ends the connection, for whatever reason.
	EndsWithConnection bool

	// Reused reports that the connection had carried an earlier request.
	Reused bool

	body        io.ReadCloser
	conn        *conn
	pool        *Pool
	addr        string
	writeResult <-chan error
	stopWatch   func() bool // stops closing the connection at the end of the call's context
	complete    bool
	keepAlive   bool
	closeOnce   sync.Once

	writeOnce sync.Once
	written   bool // the whole request; valid after writeOnce
}

// maxStrayAnswers bounds how many interim (1xx) answers and answers of other calls
// are skipped before a call fails.
const maxStrayAnswers = 3

// Do sends a call and returns its answer once the header has been read. When ctx
// ends, the connection is closed, also while the body is being read; servers treat
// this as cancellation. The error is an *Error.
func (p *Pool) Do(ctx context.Context, addr string, call *Call) (*Answer, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, &Error{Step: StepDial, Peer: addr, Cause: err}
	}
	if call.MaySend != nil && !call.MaySend() {
		p.putUnused(addr, c)
		return nil, &Error{Step: StepWrite, Peer: addr, Cause: ErrWithdrawn}
	}
	c.setRepeatable(call.Repeatable)
	stopWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	req := call.request()
	writeResult := make(chan error, 1)
	go func() { writeResult <- req.Write(c) }()
	resp, err := readHead(c, req, call.Matches)
	if err != nil {
		stopWatch()
		_ = c.Close() // the read position is unknown
		return nil, p.exchangeError(ctx, addr, c, writeResult, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reused: c.used,
		EndsWithConnection: response.EndsWithConnection(resp),
		body:               resp.Body, conn: c, pool: p, addr: addr, writeResult: writeResult, stopWatch: stopWatch, keepAlive: !resp.Close,
	}, nil
}

// exchangeError returns the *Error of an exchange without an answer. The connection
// must be closed already, so that the receive from writeResult returns.
func (p *Pool) exchangeError(ctx context.Context, addr string, c *conn, writeResult <-chan error, err error) error {
	writeErr := <-writeResult
	e := &Error{Step: StepHead, Peer: addr, Sent: c.bytesWritten.Load() > 0, Direct: c.direct(), Cause: err}
	if writeErr != nil && !e.Sent {
		e.Step = StepWrite
	}
	if ctx.Err() != nil {
		e.Cause = errors.Join(ctx.Err(), err)
	}
	return e
}

// request returns the call as an http.Request.
func (c *Call) request() *http.Request {
	req := &http.Request{
		Method: c.Method, Host: c.Host, Header: c.Header(), URL: targetURL(c.Target),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.Body)),
	}
	if len(c.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
	}
	return req
}

// targetURL returns a URL that net/http writes exactly as target. Parsing target
// instead could change its escapes.
func targetURL(target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		// net/http would write an Opaque that starts with // as a URL with a host.
		path, query, found := strings.Cut(target, "?")
		u := &url.URL{Path: path, RawPath: path, RawQuery: query, ForceQuery: found && query == ""}
		if decoded, err := url.PathUnescape(path); err == nil {
			u.Path = decoded
		}
		return u
	}
	return &url.URL{Opaque: target}
}

// readHead reads the header of the answer that matches the call. It skips interim
// (1xx) answers and answers of other calls. A faulty server may send bytes without end:
// all that is read here is bounded.
func readHead(c *conn, req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	c.bound.bindTo(maxHeadBytes)
	defer c.bound.unbind()
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(c.reader, req)
		if err == nil {
			err = response.Check(resp)
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if matches == nil || matches(resp.Header) {
			return resp, nil
		}
		if resp.Close {
			return nil, errors.New("answer of another call, and the connection ends")
		}
		c.bound.bindTo(maxDiscardedBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		c.bound.bindTo(maxHeadBytes)
	}
	return nil, errors.New("answers of other calls")
}

// Read reads the body. It returns io.EOF at the end of a complete answer and an
// *Error if the answer is truncated.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, a.bodyError(err)
	case a.EndsWithConnection && !a.requestWritten():
		// The kernel reports a reset to one call only: after a write that has failed by it, a read returns io.EOF.
		return n, a.bodyError(response.ErrNoEnd)
	default:
		a.complete = true
		return n, io.EOF
	}
}

func (a *Answer) bodyError(cause error) error {
	return &Error{Step: StepBody, Peer: a.addr, Sent: true, Direct: a.conn.direct(), Cause: cause}
}

// Discard reads the rest of a short body, so that its connection can be used again. The connection of a
// longer one is closed by Close.
func (a *Answer) Discard() {
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxDiscardedBytes)) // an error only closes the connection
}

// writeGrace is how long requestWritten waits for the writing goroutine. It may not
// have been scheduled yet; if the server answered before it had read the whole
// request, writing may never end.
const writeGrace = 20 * time.Millisecond

// requestWritten reports whether the whole request was written. Without the wait,
// Close would close a reusable connection whose writing goroutine had not been
// scheduled yet.
func (a *Answer) requestWritten() bool {
	a.writeOnce.Do(func() { a.written = a.awaitWritten() })
	return a.written
}

func (a *Answer) awaitWritten() bool {
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
	}
	t := time.NewTimer(writeGrace)
	defer t.Stop()
	select {
	case err := <-a.writeResult:
		return err == nil
	case <-t.C:
		return false
	}
}

// Close ends the exchange. If the answer was read to its end, the connection returns
// to the pool; otherwise it is closed, which cancels the request at the server.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		active := a.stopWatch()
		// Bytes after the answer belong to no request.
		reusable := active && a.complete && a.keepAlive && a.conn.reader.Buffered() == 0
		if reusable && a.requestWritten() {
			a.conn.idleTimeout = serverIdleTimeout(a.Header)
			a.pool.put(a.addr, a.conn)
			return
		}
		_ = a.conn.Close() // the exchange is over
	})
}
