//go:build !race

package e2e

import "time"

// buildFlags is empty: the binary is built as for users.
var buildFlags []string

// exitDelay is zero: only the race detector delays the exit of a process.
const exitDelay time.Duration = 0
