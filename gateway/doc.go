// Package gateway routes callers' requests to backend servers. It finds the route and the
// workspace of a request, holds it to the workspace's limit, chooses a server, sends the
// request there and relays the answer to the caller.
//
// It is independent of the callers' and servers' protocols: an HTTP handler reads callers'
// requests and writes answers; a Dialect builds the requests to servers and classifies their
// answers.
//
// Each request ends with a server's answer, with a refusal that says that it has not run, or
// with an error that leaves open whether it ran. It is reported as not run only if no byte
// of it was sent to a server, or if the server itself reports so.
package gateway
