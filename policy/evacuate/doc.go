// Package evacuate plans how requests leave a backend server that is reclaimed within
// seconds: which are exported with their KV cache, which are recomputed on another server,
// which finish in place, and when each of them moves.
//
// Load pattern: a server that runs long and short requests receives a reclaim notice,
// alone or together with its whole zone.
//
// Without it: requests move in order of arrival and the notice is spent on copying short
// ones. Long ones are prefilled again from the start, which costs prefill capacity, and
// their answers stall for seconds.
//
// A request finishes within the notice, has its KV cache exported (bytes over bandwidth),
// or is prefilled again on another server (tokens over prefill rate). Choosing the exports
// that save the most tokens within the notice is a knapsack problem. Exporting in order of
// tokens saved per second of transfer, or only the largest request if that saves more,
// saves at least half of the optimum (Vazirani, Approximation Algorithms, 2001, exercise
// 8.1). If the bandwidth is lower than estimated, this order has still completed the
// exports that save the most per second.
//
// The package does no I/O and reads no clock. Decide is a pure function.
package evacuate
