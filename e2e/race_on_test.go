//go:build race

package e2e

// buildFlags builds the binary with the race detector when the tests have it.
var buildFlags = []string{"-race"}
