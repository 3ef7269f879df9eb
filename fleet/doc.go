// Package fleet lets the control leader manage the backend servers: it starts and
// stops cloud instances, and sends orders to servers. Each order has a fencing
// token, and is sent only while no other replica can be the leader.
//
// A backend server that checks the token refuses an order whose token is lower
// than the highest it has received. A server that ignores it is protected by
// timing alone, in four steps. Durations are multiples of the replicas' election
// timeout T, 500 ms by default.
//
//  1. The leader's lease ends at most 0.9 T after it sent the heartbeat that a
//     majority has acknowledged; those voters elect nobody else for T after they
//     received it. Clock rates may differ by a tenth, so the lease ends before any
//     of the voters votes for another leader (package replica).
//  2. An order is written in a single write, right after a check of the lease, and
//     has a deadline of LeaseMargin before the lease ends. At the deadline the
//     connection is aborted, and the kernel drops its unacknowledged data.
//  3. A new leader holds its lease for SettleDelay, T by default, before its first
//     order. This covers an order in transit when the old lease ended, and clock
//     rates that differ by more than step 1 assumes.
//  4. After an order with an unknown outcome, its server gets none for SettleDelay.
//
// Not covered, for servers that ignore the token: a leader that is suspended in
// the few instructions between the check and the write; a server that is itself
// suspended and then reads the orders of two leaders at once; a clock that stops
// while the machine is suspended. Only the token protects against these.
package fleet
