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
)

// Call is a request for a server.
type Call struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header // not changed, and not to be changed while the call runs
	Body   []byte

	// Belongs reports whether an answer with this header answers this call. A
	// faulty server may send an answer twice, and the second one arrives where the
	// next call's answer is due.
	Matches func(http.Header) bool
}

// Answer is a server's answer whose head has been read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1 if not known

	// Reused says that the connection had carried a request before.
	Reused bool

	body        io.ReadCloser
	conn        *conn
	pool        *Pool
	addr        string
	writeResult <-chan error
	stopWatch   func() bool // ends the watch over the call's context
	complete    bool
	keepAlive   bool
	closeOnce   sync.Once
}

// maxStray is how many answers of other calls are passed over.
const maxStrayAnswers = 3

// Do sends a call and returns its answer once the head has arrived. The end of
// ctx closes the connection, also while the body is read: servers take that as
// the word that nobody waits any more. The error is an *Error.
func (p *Pool) Do(ctx context.Context, addr string, call *Call) (*Answer, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, &Error{Step: StepDial, Peer: addr, Cause: err}
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	req := call.request()
	writeResult := make(chan error, 1)
	go func() { writeResult <- req.Write(c) }()
	resp, err := readHead(c, req, call.Matches)
	if err != nil {
		stopWatch()
		_ = c.Close() // its state is not known
		return nil, p.exchangeError(ctx, addr, c, writeResult, err)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Reused: c.used,
		body: resp.Body, conn: c, pool: p, addr: addr, writeResult: writeResult, stopWatch: stopWatch, keepAlive: !resp.Close,
	}, nil
}

// failed says of an exchange without an answer whether it may have run. The
// connection is closed, so the writer has ended or is about to.
func (p *Pool) exchangeError(ctx context.Context, addr string, c *conn, writeResult <-chan error, err error) error {
	writeErr := <-writeResult
	e := &Error{Step: StepHead, Peer: addr, Sent: c.bytesWritten.Load() > 0, Cause: err}
	if writeErr != nil && !e.Sent {
		e.Step = StepWrite
	}
	if ctx.Err() != nil {
		e.Cause = errors.Join(ctx.Err(), err)
	}
	return e
}

// request returns the call as net/http writes it.
func (c *Call) request() *http.Request {
	req := &http.Request{
		Method: c.Method, Host: c.Host, Header: c.Header, URL: targetURL(c.Target),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.Body)),
	}
	if len(c.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
	}
	return req
}

// targetURL returns a URL that is written just as target is: an escape that was
// decoded and encoded again need not come out the same.
func targetURL(target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		// Opaque would be taken for an authority.
		path, query, found := strings.Cut(target, "?")
		u := &url.URL{Path: path, RawPath: path, RawQuery: query, ForceQuery: found && query == ""}
		if decoded, err := url.PathUnescape(path); err == nil {
			u.Path = decoded
		}
		return u
	}
	return &url.URL{Opaque: target}
}

// readHead reads the head of the answer that belongs to the call.
func readHead(c *conn, req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(c.reader, req)
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
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("answers of other calls")
}

// Read reads the body. io.EOF means that the answer is whole; any other error,
// an *Error, that it broke off.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.complete = true
		return n, io.EOF
	default:
		return n, &Error{Step: StepBody, Peer: a.addr, Sent: true, Cause: err}
	}
}

// writeGrace is how long the end of the writing is waited for once the answer is
// whole. The writer may just not have had the processor yet; a server that answered
// before it had read a long request takes longer, or never reads the rest.
const writeGrace = 20 * time.Millisecond

// written reports whether the whole request was written. Without the wait a
// connection whose writer was late to say so would be closed, and the next request
// would pay for a new one.
func (a *Answer) requestWritten() bool {
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

// Close ends the exchange. A connection whose answer was read whole is used
// again; any other one is closed, which tells the server to stop.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		active := a.stopWatch()
		// The reader checks for bytes behind the answer: they belong to no request.
		reusable := active && a.complete && a.keepAlive && a.conn.reader.Buffered() == 0
		if reusable && a.requestWritten() {
			a.conn.idleTimeout = serverIdleTimeout(a.Header)
			a.pool.put(a.addr, a.conn)
			return
		}
		_ = a.conn.Close() // nothing more is expected of it
	})
}
