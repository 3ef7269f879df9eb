// Package contract holds what operators promise and what they ask for: the
// catalogue of workspaces and services, and the planned stops.
//
// The package does no I/O. Values are immutable once they are part of a
// Catalogue that Parse or Validate has accepted; share them freely between
// goroutines, and change them only through a new Catalogue.
package contract
