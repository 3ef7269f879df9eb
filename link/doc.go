// Package link carries messages between the system's own processes: msgpack
// bodies in length-prefixed frames over TCP.
//
// One connection serves many calls at a time and one-way notices. Both ends
// send a heartbeat whenever they have had nothing else to send for an interval
// and close a connection on which nothing has arrived for the silence bound.
// Without that bound a connection that some device between the ends has
// forgotten stays open for good: calls on it run into their deadlines one by
// one while a new connection would work at once.
//
// A call that fails says what may have happened to it. ErrUnreachable: no byte
// of it was written, it surely did not run. ErrLost: it was written and no
// answer came, it may have run. RemoteError: the other side answered with an
// error.
//
// Calls are not resumed by sequence number over a new connection. Weighed: a
// session with numbered frames, kept by both ends across connections, would
// repeat unanswered calls by itself. It needs per-peer state that outlives the
// connection, is lost anyway when either process restarts, and the owner of a
// call must handle ErrLost for that case in any event. So every owner makes its
// calls idempotent and repeats them itself, and the link keeps no state between
// connections.
//
// Both ends prove in a handshake that they hold the cluster key, by HMAC-SHA256
// over both hellos, nonces included. Frames after the handshake are neither
// encrypted nor signed: the key keeps strangers and instances of another
// cluster out, it doesn't protect against someone who can rewrite packets.
package link
