// Package shift decides how fast traffic moves to a new version of a service, or to a new
// group of servers, and back.
//
// Load pattern: an operator changes the version under full load, and the new one has cold
// caches or is faulty.
//
// Without it: all traffic moves at once to servers with empty prefix caches, so that every
// prompt is prefilled in full and first tokens are late for all callers; and a faulty
// version answers every caller with errors until an operator intervenes.
//
// The share of the new version starts at FirstStep, at most doubles with each step and
// never grows by more than MaxStep. Each further step needs MinRequests answers of the new
// version. When its rate of errors or of late first tokens is significantly above that of
// the old version, the share is rolled back, also in bounded steps: the caches of the old
// servers have gone cold in the meantime, and some of the servers may have been stopped.
//
// The package does no I/O and reads no clock. All functions are pure.
package shift
