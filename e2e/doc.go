// Package e2e contains end-to-end tests only. They start the built binary as
// separate processes on loopback addresses and act as callers, operators and
// backend servers.
package e2e
