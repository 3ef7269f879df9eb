// Package backend sends requests to backend servers over HTTP/1.1 and reports for
// each failed request whether the server may have run it.
//
// It has its own connection pool because http.Transport resends some requests by
// itself when a reused connection is closed. The server may have started the first
// copy, so a request that must run at most once could run twice. Messages are
// written and parsed by net/http.
package backend
