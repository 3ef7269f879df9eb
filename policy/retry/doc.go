// Package retry decides whether a failed attempt is retried, and whether a slow one is
// hedged on a second backend server.
//
// Load pattern: a backend server fails or is slow, or many fail within seconds, as when a
// zone is lost.
//
// Without it the remaining backend servers receive the failed work again at once, on top of
// their own. The retries take the capacity that first attempts need, which then fail too.
//
// Whatever sends a request to a server once more, a repeat, spends a budget of its workspace
// and its service: a retry, a hedge, a resumed stream, a request that continues after its
// server was reclaimed. In every window the repeats at all entries together are at most a
// fraction of the first attempts (Config.Ratio) and a slack that the entries divide
// (Policy.SetSlack). Failed and Slow say whether a repeat is worth while and the budgets have
// room; Repeat, called right before the send, spends it.
//
// The package has no clock and no source of randomness: both are arguments. Policy is not
// safe for concurrent use; its owner holds a lock around it.
package retry
