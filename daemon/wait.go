package daemon

import (
	"context"
	"time"

	"github.com/oklog/run"
)

// Pause returns after d, or earlier if ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// EndWith adds an actor that ends the group when ctx ends.
func EndWith(ctx context.Context, g *run.Group) {
	Actor(g, func(actorCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-actorCtx.Done():
		}
		return nil
	})
}
