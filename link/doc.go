// Package link carries calls and one-way notices between the system's own
// processes: msgpack bodies in length-prefixed frames over TCP.
//
// A connection is multiplexed: many calls and notices share it. Each end sends a
// heartbeat when it has sent nothing else for an interval, and closes the
// connection when it has received nothing within the heartbeat timeout. This
// detects a connection whose state a firewall or NAT has dropped: it would stay
// open and every call on it would run into its deadline, while a new connection
// would work at once.
//
// The error of a failed call states whether the call may have run.
// ErrUnreachable: no byte of it was written, so it did not run.
// ErrOutcomeUnknown: it was written and no answer arrived, so it may have run.
// RemoteError: the other end answered with an error.
//
// No state outlives a connection: unanswered calls are not resent on a new one.
// Callers make their calls idempotent and retry them, which they need anyway
// because either process may restart.
//
// Both ends prove in a handshake that they hold the cluster key, by HMAC-SHA256
// over both hellos, including their nonces. Frames after the handshake are neither
// encrypted nor authenticated: the key rejects peers without it, such as instances
// of another cluster, but does not protect against an attacker who can modify
// packets in transit.
package link
