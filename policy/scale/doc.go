// Package scale decides how many instances of each machine class run in each
// zone, and which models and adapters they load.
//
// Load pattern: a morning surge that grows fivefold within minutes, noise around
// a level, a wave that reclaims a whole data centre's reclaimable instances, and a
// cloud that refuses replacement starts during the wave.
//
// Without it: an on-demand fleet costs about three times as much; a fleet of
// reclaimable instances in the cheapest zone is lost in one wave; a fleet that
// follows each dip is too small when the load returns minutes later; and refused
// starts are repeated without backoff.
//
// Sizing rule: the fleet without any one data centre still serves the demand.
// With equal shares in k data centres the fleet needs k/(k-1) of the demand. More
// data centres need less spare capacity, but each further one is more expensive;
// Decide chooses the cheapest k. Each region is sized on its own, so that none
// relies on the capacity of another.
//
// The package does no I/O and reads no clock. Decide is a pure function; the
// caller stores its State where the next leader can read it.
package scale
