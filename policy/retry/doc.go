// Package retry decides whether a failed attempt is repeated, and whether a
// slow one is doubled. It answers a backend server that fails or is slow, and a
// wave in which many fail at once.
//
// Without it a fleet that loses a zone is asked to do its remaining work and
// all the lost work again in the same second, and what a few failures began,
// the repetitions finish: they take the capacity that first attempts need.
//
// Retries and hedges spend a budget for each workspace and each service, which
// a tenth of their first attempts fills. So they never exceed a tenth of the
// load, whatever fails. Work that must go on because its backend server was
// reclaimed is not a retry and spends nothing: it was accepted and is owed an
// answer.
//
// The package has no clock and no source of randomness: both come in as
// arguments. Policy is not safe for concurrent use; its owner holds a lock
// around it.
package retry
