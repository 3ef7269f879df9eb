// Package route chooses the backend server that runs a request.
//
// Load patterns answered: a burst on one prompt prefix, many conversations that
// each repeat their own prompt, a backend server that is slow without being
// dead, long prompts among short ones, and many entries that act on the same
// outdated load report.
//
// Without it: least reported load sends turns of one conversation to servers
// that must prefill the whole prompt again (recomputed tokens, slow first
// token); plain prefix affinity overloads the one server that holds a hot
// prefix; entries that share a report all pick the server that looked idle
// (herding); and a slow server keeps its full share until its requests time out.
//
// A decision looks at every server once, drops those that may not run the
// request, and scores at most six candidates: two that hold the deepest cached
// prefix, the first two in the rendezvous order of the conversation, and two at
// random. The lowest expected time to first token wins. Few candidates rather
// than all keeps entries with the same report from agreeing on one server, which
// is the "power of two choices" (Mitzenmacher, IEEE TPDS 12(10), 2001). The
// bound on a server's load is that of consistent hashing with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, SODA 2018).
//
// The package does no I/O and reads no clock: time and randomness are arguments.
// Equal calls in equal order give equal verdicts. A Router and its PrefixIndex
// are not safe for concurrent use; an entry keeps one Router per service, each
// under the lock of that service's shard.
package route
