// Package shift decides how fast traffic moves to a new version of a service,
// or to a new group of servers, and back.
//
// Load pattern answered: an operator changes a version under full load, and the
// new one is slower to warm up, or bad.
//
// Without it: all traffic turns at once to servers with empty prefix caches, so
// that every prompt is prefilled again and first tokens are late for everybody;
// and a bad version answers every caller with errors until somebody looks.
//
// The share of the new version begins at a few requests in a hundred, at most
// doubles at each step and never grows by more than MaxStep. Each step needs
// enough answers to judge by. When the new version's rate of errors, or of late
// first tokens, is above the old one's beyond chance, the share goes back, in
// bounded steps as well: the old servers' caches have cooled down meanwhile, and
// some of them may be gone.
//
// The package does no I/O and reads no clock. All functions are pure.
package shift
