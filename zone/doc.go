// Package zone describes where instances run: zones with their region, data
// centre and prices, and the notices with which the provider reclaims instances.
//
// The package does no I/O. Its values are plain data; they may be shared once
// Validate has accepted them, and must not be changed afterwards.
package zone
