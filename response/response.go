// Package response checks the responses of HTTP servers that this system does not control more strictly than net/http
// reads them. Every reader of such a response uses it.
package response

import (
	"fmt"
	"io"
	"net/http"
)

// Errors of responses that are not to be passed on.
var (
	// ErrNoEnd reports a body without a length whose connection ended before the request was written: whether it
	// is whole cannot be known.
	ErrNoEnd = fmt.Errorf("the response's connection ended before the request was written: %w", io.ErrUnexpectedEOF)
)

// EndsWithConnection reports that the body has neither a length nor chunks: it ends where the server ends the
// connection, for whatever reason.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}
