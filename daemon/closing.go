package daemon

import (
	"net/http"
	"sync/atomic"
)

// closeWhenAsked wraps a handler for CloseAfterAnswers.
func (s *HTTPServer) closeWhenAsked(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &closingWriter{ResponseWriter: w, closing: &s.closing}
		h.ServeHTTP(answer, r)
		answer.beforeHeader() // of a handler that writes nothing
	})
}

// closingWriter decides when an answer's header is written whether its connection closes. The
// request may have begun long before. It also closes after a body that is too large, as
// http.MaxBytesReader does on a writer of net/http itself; otherwise the answer would wait for
// the rest of the body.
type closingWriter struct {
	http.ResponseWriter
	closing *atomic.Bool
	begun   bool
}

func (w *closingWriter) beforeHeader() {
	if !w.begun && w.closing.Load() {
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
