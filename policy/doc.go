// Package policy is the root of the decisions under load: which requests are admitted
// (admit), which wait and in which order (queue), which are retried (retry), which server
// runs a request (route), and how fast load moves between sites and zones (shift).
//
// The packages below it use no network, clock, log or goroutine. Time and randomness are
// arguments. Each decision takes a typed input and returns a typed verdict with its reason,
// which the caller logs. Equal inputs and equal random values give equal verdicts.
//
// docs/DECISIONS.md names the load pattern that each decision handles and compares the
// decision with its baselines.
package policy
