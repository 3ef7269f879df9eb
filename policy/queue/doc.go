// Package queue orders waiting requests and decides when the next one starts.
//
// Load pattern: a surge of one workspace, long requests among short ones, and
// load above capacity. Without this package requests run in order of arrival:
// every other workspace waits behind the surge, and a few long answers delay
// hundreds of short ones.
//
// Queue uses start-time fair queueing (Goyal, Vin and Cheng, 1996) between
// workspaces, with the cost in tokens, and orders by class and deadline within
// a workspace. It is bounded, and returns every item that it drops, so that the
// caller can answer that request at once.
//
// Starter decides whether the next item may take a slot. Use one Queue and one
// Starter for each set of interchangeable backend servers.
//
// The package reads no clock; callers pass the time. Queue and Starter are not
// safe for concurrent use.
package queue
