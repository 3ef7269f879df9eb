// Package scale decides how many instances of which machine class run in which
// zone, and which models and adapters they load.
//
// Load patterns answered: a surge each morning that grows fivefold in minutes,
// noise around a level, a wave that takes a data centre's worth of reclaimable
// instances at once, and a cloud that refuses replacement starts just then.
//
// Without it: on-demand instances everywhere, at about three times the price; or
// reclaimable ones in the cheapest zone, all gone in one wave; or a fleet that
// follows each dip of the load and is too small when it returns minutes later;
// or starts that are asked for over and over where they are refused.
//
// The rule that the size follows is: without any one data centre, the rest
// still serves the demand. With equal parts in k data centres this takes
// 1/(k-1) more than the demand; more data centres need less spare but are dearer
// from one to the next, and Decide takes the cheapest k. Each region is decided
// on its own: regions lose each other, and one must not rely on the other.
//
// The package does no I/O and reads no clock. Decide is a pure function; its
// State is to be kept where a new leader finds it.
package scale
