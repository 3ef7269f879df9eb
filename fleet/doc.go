// Package fleet is what the control leader does to the backend servers: it gives
// them orders, each with a fencing number, and only while no other replica can
// lead.
//
// A backend server that checks the number refuses one lower than it has seen.
// One that ignores it is protected by time alone, in four steps. Durations are
// in terms of the replicas' election timeout T, 500 ms by default.
//
//  1. The leader's lease ends at most 0.9 T after it sent the heartbeat that a
//     majority has answered; those voters elect nobody else for T after they
//     received it. Two clocks may differ in rate by a tenth, so the lease is over
//     before any of them votes for another leader (package replica).
//  2. An order is written only with the lease checked right before, in one write,
//     and ends a margin before the lease does. An order that is not through by
//     then is cut off, and so are its bytes that the kernel still holds.
//  3. A new leader first holds its own lease for Settle, T by default, before its
//     first order. That covers an order that was on its way when the old lease
//     ended, and clocks that differ by more than step 1 assumes.
//  4. After an order with an unknown outcome, its server gets none for Settle.
//
// Not covered, for servers that ignore the number: a freeze of the leader in the
// few instructions between the check and the write; a server that was itself
// frozen and reads two leaders' orders at once; a clock that stops while the
// machine is suspended. Only the number protects there.
package fleet
