// Package zone describes where instances run: zones with their region, data
// centre and prices, and the notices by which the cloud reclaims instances.
//
// The package does no I/O. Its values are plain data; share them freely once
// Validate has accepted them, and do not change them afterwards.
package zone
