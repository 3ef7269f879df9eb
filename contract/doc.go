// Package contract defines what operators declare: the catalogue of workspaces
// and services, and the planned stops. It also contains the replicated state
// machine that applies their changes.
//
// The package does no I/O. A Catalogue that Parse or Validate has accepted must
// not be modified afterwards; it may be shared between goroutines.
package contract
