// Package backend sends requests to backend servers over HTTP/1.1 and says of
// each one that failed whether it may have run.
//
// It keeps its own connections instead of using http.Transport, which decides by
// itself when a request is sent again: after a connection was closed it cannot
// tell whether the server had begun, and a call that must run once would run
// twice. Messages are still written and read by net/http.
package backend
