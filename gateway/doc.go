// Package gateway is an entry for requests that are passed on as they are: it
// finds the route and the workspace of a request, chooses a backend server, runs
// the request there and hands the answer to the caller as it comes.
//
// It knows nothing of how callers and servers speak: an HTTP handler reads callers'
// requests and writes answers, a Dialect puts requests to servers and judges what
// their answers prove.
//
// Each request ends in one of three ways: with a server's answer, refused as not
// run, or with an error that leaves open whether it ran. It is called not run only
// where no byte of it was sent to a server, or where the server itself says so.
package gateway
