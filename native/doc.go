// Package native has the HTTP clients for the external systems: model engines, plain
// services, the cloud API and the weight store. The types in this package are the wire
// format of their protocols. Package internal/fake implements the servers for tests.
package native
