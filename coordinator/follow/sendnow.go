package follow

import (
	"context"
	"time"

	"savoryreel.example/savoryreel/daemon"
)

// SendNow interrupts the open call at each replica, so that the current result of Request is
// sent at once.
func (f *Follower) SendNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// Prompt makes each replica reply at once, with the newest revision that it has.
func (f *Follower) Prompt() {
	f.prompts.Add(1)
	f.SendNow()
}

// recordAnswered records that a replica has taken in a request that was made after a number of calls of Prompt.
func (f *Follower) recordAnswered(p *peer, prompts uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.prompts = prompts
}

// flushPollInterval is how often Flush looks whether all replicas have replied.
const flushPollInterval = 5 * time.Millisecond

// Flush sends the current result of Request to each replica, and returns once all that reply have taken it in, or
// ctx ends.
func (f *Follower) Flush(ctx context.Context) {
	needed := f.prompts.Add(1)
	f.SendNow()
	for ctx.Err() == nil && !f.answeredSince(needed) {
		daemon.Pause(ctx, flushPollInterval)
	}
}

// answeredSince reports whether all replicas that reply have taken in a request that was made after a number of
// calls of Prompt.
func (f *Follower) answeredSince(prompts uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if !p.unreachable && p.prompts < prompts {
			return false
		}
	}
	return true
}
