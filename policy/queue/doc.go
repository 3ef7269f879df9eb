// Package queue orders waiting requests. It answers a surge that falls on one
// workspace, one caller that sends long work among the short work of others,
// and load above capacity.
//
// Without it requests run in order of arrival: one workspace's surge of twenty
// times its usual load makes every other workspace wait behind it, and a few
// long answers hold up hundreds of short ones.
//
// Queue is start-time fair queueing (Goyal, Vin and Cheng, 1996) over
// workspaces, with cost in tokens of work, and by class and deadline within a
// workspace. It is bounded, and what leaves it without running is always named
// to the caller, so that each request still gets its final answer at once.
//
// Starter decides when the next item may take a slot. Keep one Queue and one
// Starter for each set of backend servers that do the same work.
//
// The package has no clock: each call that depends on time takes it. A Queue
// and a Starter are not safe for concurrent use; their owner holds a lock around
// them.
package queue
