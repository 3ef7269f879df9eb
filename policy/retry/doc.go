// Package retry decides whether a failed attempt is retried, and whether a slow one is
// hedged on a second backend server.
//
// Load pattern: a backend server fails or is slow, or many fail within seconds, as when a
// zone is lost.
//
// Without it the remaining backend servers receive the failed work again at once, on top of
// their own. The retries take the capacity that first attempts need, which then fail too.
//
// Retries and hedges spend a budget for each workspace and each service, which is filled
// by a fraction of their first attempts (Config.Ratio). Beyond Config.Start they stay
// within that fraction of first attempts, whatever fails. An accepted request whose backend
// server was reclaimed continues on another one; this is not a retry and spends nothing.
//
// The package has no clock and no source of randomness: both are arguments. Policy is not
// safe for concurrent use; its owner holds a lock around it.
package retry
