package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

// limiter holds each workspace to its limit. The limit is over all entries
// together, so each entry enforces its part of it by itself, and keeps doing so
// when it hears of no other.
//
// Without it one workspace that sends many times its usual would take the
// engines from all others.
type limiter struct {
	bounds site.Bounds

	mu      sync.Mutex
	entries int
	buckets map[string]*bucket // by workspace
}

// bucket is a token bucket: it fills at the part of the workspace's rate that
// this entry has, up to its part of the burst.
type bucket struct {
	workspace routes.Workspace
	level     float64
	at        time.Time
}

// slackPart is the part of the overrun that the site's users allow which the
// entries use up on purpose. Callers do not spread evenly over entries, so exact
// parts would refuse work of a workspace that is within its limit; the rest
// covers an entry that still counts one that has just gone.
const slackPart = 0.5

func newLimiter(b site.Bounds) *limiter {
	return &limiter{bounds: b, entries: 1, buckets: make(map[string]*bucket)}
}

func (l *limiter) setEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// setWorkspaces takes the limits of a catalogue. What a bucket holds stays, down
// to its new size.
func (l *limiter) setWorkspaces(list []routes.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*bucket, len(list))
	for _, w := range list {
		if w.PerSecond <= 0 {
			continue
		}
		b := l.buckets[w.Name]
		if b == nil {
			b = &bucket{at: now}
			b.workspace = w
			b.level = l.size(&w)
		}
		b.workspace = w
		next[w.Name] = b
	}
	l.buckets = next
}

// size is this entry's part of what a workspace may use at once.
func (l *limiter) size(w *routes.Workspace) float64 {
	return (w.Burst + slackPart*l.bounds.QuotaSlack) / float64(l.entries)
}

// rate is this entry's part of a workspace's rate.
func (l *limiter) rate(w *routes.Workspace) float64 {
	return w.PerSecond * (1 + slackPart*l.bounds.QuotaOverrun) / float64(l.entries)
}

// take uses up cost of the workspace's limit, or says when there will be enough.
func (l *limiter) take(workspace string, cost float64, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil {
		return true, 0
	}
	size, rate := l.size(&b.workspace), l.rate(&b.workspace)
	b.level = min(b.level+rate*max(now.Sub(b.at).Seconds(), 0), size)
	b.at = now
	need := min(cost, size) // one that is larger than the bucket goes through when it is full
	if b.level < need {
		return false, time.Duration((need - b.level) / rate * float64(time.Second))
	}
	b.level -= cost
	return true, 0
}

// refund gives back what a request that did not run had used up.
func (l *limiter) refund(workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.level = min(b.level+cost, l.size(&b.workspace))
	}
}

// cost is what a request counts against its workspace's limit.
func cost(w *routes.Workspace, r *Request) float64 {
	switch {
	case w.Unit == routes.Requests:
		return 1
	case r.HasSize:
		return float64(r.PromptTokens + r.AnswerTokens)
	default:
		return w.DefaultTokens
	}
}
