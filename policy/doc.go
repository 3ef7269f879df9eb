// Package policy is the root of the decisions under load: what is let in
// (admit), what waits and in which order (queue), what is tried again (retry),
// where work goes, and how fast the system shifts.
//
// The packages below it use no network, clock, log or goroutine. Time and
// randomness come in as arguments, each decision takes a typed input and
// returns a typed verdict with its reason, and the caller logs that verdict.
// The same inputs and the same random values give the same verdicts.
//
// docs/DECISIONS.md names for each decision the pattern of load it answers and
// compares it with its baselines.
package policy
