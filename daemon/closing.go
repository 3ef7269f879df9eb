package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"savoryreel.example/savoryreel/intake"
)

// boundRequests wraps a handler: a request takes its place among those in progress and claims room for its body, and
// its answer says that the connection closes where CloseAfterAnswers asks for it or the body was not read.
func (s *HTTPServer) boundRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		client := intake.FromContext(r.Context())
		defer client.End()
		answer := &closingWriter{ResponseWriter: w, closing: &s.closing}
		if r.ContentLength != 0 {
			answer.body = intake.NewBody(r.Context(), client, r.Body, r.ContentLength)
			r = r.WithContext(r.Context()) // net/http looks at its own Body of the request it has made
			r.Body = answer.body
			defer lingerAfter(r, answer.body)
		}
		if err := client.Begin(r.Context()); err != nil {
			s.logTurnedAway()
			s.busy(answer, r, err)
		} else {
			h.ServeHTTP(answer, r)
		}
		answer.beforeHeader() // of a handler that writes nothing
	})
}

// lingerAfter bounds how long the rest of a body is awaited that the handler has not read.
func lingerAfter(r *http.Request, body *intake.Body) {
	if c, ok := r.Context().Value(connKey{}).(*serverConn); ok && !body.Ended() {
		c.linger(leavesUnread(body))
	}
}

// busyRetryAfter is the Retry-After, in seconds, of a request that found no room. Clients that are behind give theirs
// within that time.
const busyRetryAfter = "1"

// writeBusy answers a request that found no place.
func writeBusy(w http.ResponseWriter, _ *http.Request, refused error) {
	w.Header().Set("Retry-After", busyRetryAfter)
	http.Error(w, refused.Error(), http.StatusServiceUnavailable)
}

type connKey struct{}

// withClient is the ConnContext of an http.Server.
func withClient(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*serverConn)
	if !ok {
		return ctx
	}
	return intake.WithClient(context.WithValue(ctx, connKey{}, c), c.client)
}

// closingWriter decides when an answer's header is written whether its connection closes. The
// request may have begun long before. It also closes after a body that was not read; otherwise the answer would wait
// for the rest of it.
type closingWriter struct {
	http.ResponseWriter
	closing *atomic.Bool
	body    *intake.Body // nil: the request has none
	begun   bool
}

// leavesUnread reports whether more of the body is left than net/http should read to keep the connection.
func leavesUnread(body *intake.Body) bool {
	if body == nil || body.Ended() {
		return false
	}
	remaining := body.Remaining()
	return remaining < 0 || remaining > intake.SmallBody
}

func (w *closingWriter) beforeHeader() {
	if !w.begun && (w.closing.Load() || leavesUnread(w.body)) {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	if status >= http.StatusOK {
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
