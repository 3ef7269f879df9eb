//go:build !race

package e2e

// buildFlags builds the binary as users do.
var buildFlags []string
