// Package e2e holds tests that start the real binary as separate processes on
// loopback addresses and look at the system from outside, as callers, operators
// and backend servers do. It has no code but tests.
package e2e
