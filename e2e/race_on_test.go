//go:build race

package e2e

import "time"

// buildFlags enables the race detector in the binary, as in the tests themselves.
var buildFlags = []string{"-race"}

// exitDelay is how long the race detector delays the exit of a process (atexit_sleep_ms).
const exitDelay = time.Second
