// Package tunnel carries connections to backend servers through another entry. An entry without a
// path of its own to a server opens a tunnel to an entry that has one; that entry opens a connection
// to the server and passes bytes on, both ways, until either end closes.
//
// Everything is decided by the entry that opens the tunnel: which server, limits, retries, deadlines.
// The other one only carries bytes. A tunnel is never carried by a further tunnel.
//
// To its user a tunnel is a connection to the server. It ends as that connection does: orderly, or by
// a reset, and closing it closes the connection to the server at once. The end of the tunnel's own
// connection is none of these: an answer that ends with its connection would look complete if the
// carrying process ended.
package tunnel
