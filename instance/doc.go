// Package instance defines the instances of the system: its members (entries and
// control replicas) and the backend servers, which announce themselves. It has their
// states and the View, a snapshot of all instances that a process reads without locks.
package instance
