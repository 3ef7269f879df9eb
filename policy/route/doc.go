// Package route chooses the backend server that runs a request.
//
// Load patterns: a burst on one prompt prefix, many conversations that each repeat their
// own prompt, a server that is slow but alive, long prompts among short ones, and many
// entries that act on the same outdated load report.
//
// Without it: least reported load sends the turns of one conversation to servers that must
// prefill the whole prompt again (recomputed tokens, late first token); plain prefix
// affinity overloads the server that holds a hot prefix; entries that share a report all
// pick the same server that looked idle (herding); and a slow server keeps its full share
// until its requests time out.
//
// A decision scans all servers once, drops those that may not run the request, and scores
// at most six candidates: two with the longest cached prefix, the first two in the
// rendezvous order of the conversation, and two at random. The lowest expected time to
// first token wins. Scoring a few candidates instead of all servers prevents entries with
// the same report from choosing the same server ("power of two choices", Mitzenmacher, IEEE
// TPDS 12(10), 2001). The bound on a server's load is that of consistent hashing with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, SODA 2018).
//
// The package does no I/O and reads no clock: time and randomness are arguments. Equal
// calls in equal order give equal verdicts. A Router and its PrefixIndex are not safe for
// concurrent use; an entry has one Router per service and guards it with a lock.
package route
