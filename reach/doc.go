// Package reach opens an entry's connections to backend servers: on the entry's own path while that is
// sound, and through other entries (package tunnel) while it is lost. Package path decides which of
// both it is, by the signs that this package collects from the connections and by its checks.
//
// What the entry alone can't reach says nothing of a server: an Error says whether the server is gone,
// as far as somebody knows who reaches other servers.
package reach
