//go:build !race

package e2e

// buildFlags is empty: the binary is built as for users.
var buildFlags []string
