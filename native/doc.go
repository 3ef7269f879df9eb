// Package native meets the outside systems over HTTP in the product's own
// protocols: model engines, plain services, the cloud API and the weight store.
// The types in this package are the wire format of those protocols;
// internal/fake answers them.
package native
