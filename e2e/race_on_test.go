//go:build race

package e2e

// buildFlags enables the race detector in the binary, as in the tests themselves.
var buildFlags = []string{"-race"}
