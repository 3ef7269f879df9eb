// Package response checks the responses of HTTP servers that this system does not control more strictly than net/http
// reads them. Every reader of such a response uses it.
package response

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Errors of responses that are not to be passed on.
var (
	// ErrNotHTTP reports a head that is not HTTP/1.1 (RFC 9112, RFC 9110).
	ErrNotHTTP = errors.New("the response's head is not valid HTTP")
	// ErrNoEnd reports a body without a length whose connection ended before the request was written: whether it
	// is whole cannot be known.
	ErrNoEnd = fmt.Errorf("the response's connection ended before the request was written: %w", io.ErrUnexpectedEOF)
)

// Statuses of a response.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrNotHTTP if the response's status or the name of a field is none of HTTP. net/http
// accepts any three digits as a status, and blanks in names: "Content-Length : 4" is then an unknown field, and the body
// has another length than the server meant.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrNotHTTP, r.Proto)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrNotHTTP, r.Status)
	}
	for name := range r.Header {
		if !isToken(name) {
			return fmt.Errorf("%w: field %q", ErrNotHTTP, name)
		}
	}
	return nil
}

// EndsWithConnection reports that the body has neither a length nor chunks: it ends where the server ends the
// connection, for whatever reason.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
