// Package capacity measures what the system's own work costs, on one machine,
// and prints it as tables with a straight line fitted through each column. It
// drives the packages that a site runs: control replicas with their data
// folders, entries, links over loopback, and small stand-in engines. Nothing is
// simulated; docs/CAPACITY.md works out the size to design for from the slopes.
//
// Counts and bytes repeat from run to run. Times depend on the machine and on
// what else it does; they are printed and never judged.
package capacity
