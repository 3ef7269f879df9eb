package native

import (
	"context"
	"errors"
)

// ErrWithdrawn is the cause of a call that the function of WithMaySend has stopped. No byte of it
// was written.
var ErrWithdrawn = errors.New("the server takes no more requests")

type maySendKey struct{}

// WithMaySend returns a context for a call that is sent only if maySend returns true once a
// connection is open, which may take a while.
func WithMaySend(ctx context.Context, maySend func() bool) context.Context {
	return context.WithValue(ctx, maySendKey{}, maySend)
}

type repeatableKey struct{}

// withRepeatable returns a context for a call that its caller sends again if it may have run and was
// not answered.
func withRepeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}
