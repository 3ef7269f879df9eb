// Package evacuate decides which requests leave a backend server first, and how,
// when it is to be reclaimed within seconds.
//
// Load pattern answered: a server full of long and short answers gets notice of
// its end, alone or with its whole zone.
//
// Without it: requests are moved in the order in which they came, and the time
// runs out while short ones are copied; the long ones are prefilled again from
// the start, seen as recomputed tokens and as answers that stall for seconds.
//
// A request can finish in time by itself, have its KV cache exported (bytes over
// bandwidth), or be prefilled again elsewhere (its tokens over the prefill
// rate). The exports that fit the notice should save the most tokens. That is a
// knapsack; the order by tokens saved per second of transfer, or the one largest
// request alone if that saves more, saves at least half of the most that is
// possible (Vazirani, Approximation Algorithms, 2001, exercise 8.1), and it is
// the right order also when the bandwidth proves lower than believed: what has
// been done by then was the best to do.
//
// The package does no I/O and reads no clock. Decide is a pure function.
package evacuate
