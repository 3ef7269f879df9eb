// Package capacity measures the overhead of the system's own components on one
// machine: processor time, memory and bytes on the network, at several sizes.
// Each measurement is a table with a straight line fitted through each column;
// docs/CAPACITY.md extrapolates from the slopes to the size that the system is
// designed for.
//
// The measurements run the real code in one process: control replicas with
// their data folders, entries, links over loopback, and stand-in engines.
//
// Counts and bytes are the same from run to run. Times depend on the machine and
// its load, so no test checks them.
package capacity
