// Package intake bounds what a process holds for its clients, however many connect and whatever they send.
//
// An Intake holds the bounds of a process, which follow from the memory and the descriptors that it has: open
// connections, requests in progress, and bytes of request bodies. Each listener has a Gate with a part of the
// connections and requests, so that a crowd at one listener shuts out nobody at another. The sum of all bounds,
// with the socket buffers of the connections, stays within a part of the memory.
//
// While there is room, a client may be as slow as it likes. Once another client needs room that is taken, the
// client that has kept the process waiting longest is cut off: one that does not end its header, an idle
// connection, or one that neither sends its body nor reads its answer at MinRate. If no client is behind, the
// newcomer waits for a bounded time and is then refused.
package intake
