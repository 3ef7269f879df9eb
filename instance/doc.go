// Package instance describes the instances that take part in serving: the
// system's own (entries and control replicas) and the backend servers, which
// announce themselves. It holds each one's life cycle and the view that an
// entry has of all of them.
package instance
