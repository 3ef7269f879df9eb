package booking

import "time"

// Limits is what is left of the workspaces' limits that one entry keeps for all.
//
// Load pattern answered: a workspace sends many times its usual, or its few requests are
// large, over many entries.
//
// Without it each entry lets in by what it has heard of the others: when a load jumps
// all let in at once what one of them may, then nobody lets in anything, and a
// workspace within its limit is refused for what the others are only guessed to do.
type Limits struct {
	buckets map[string]*Bucket
}

// Limit is what a workspace may use, in the limit's unit.
type Limit struct {
	Size float64 // at once
	Rate float64 // in a second
	// Spare is the part of Size that requests leave which can't be in time any more.
	Spare float64
}

// Bucket is the token bucket of one limit.
type Bucket struct {
	limit Limit
	level float64
	// promised is what those use who were told when to come back: each is told a time
	// after those before it, so that they don't all come for the same room.
	promised float64
	at       time.Time
}

// mostPromised bounds what is promised, in seconds of the limit's rate: callers give up
// sooner than after that.
const mostPromised = 5.0

// NewLimits returns limits of which nothing is known.
func NewLimits() *Limits { return &Limits{buckets: make(map[string]*Bucket)} }

// Keep drops what is kept of workspaces for which keep does not hold, and returns their
// names: their limits have another owner, or are gone. Who keeps one again begins anew.
func (l *Limits) Keep(keep func(workspace string) bool) (dropped []string) {
	for name := range l.buckets {
		if !keep(name) {
			delete(l.buckets, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// Has reports whether a workspace's limit is kept.
func (l *Limits) Has(workspace string) bool { return l.buckets[workspace] != nil }

// Bucket returns the bucket of a workspace's limit. level is what a new one begins with.
func (l *Limits) Bucket(workspace string, limit Limit, level float64, now time.Time) *Bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &Bucket{level: level, at: now}
		l.buckets[workspace] = b
	}
	b.limit = limit
	b.fill(now)
	return b
}

func (b *Bucket) fill(now time.Time) {
	fresh := b.limit.Rate * max(now.Sub(b.at).Seconds(), 0)
	b.level = min(b.level+fresh, b.limit.Size)
	b.promised = max(b.promised-fresh, 0)
	b.at = now
}

// Take uses up cost, or says when there will be enough. late says that the request's
// objective has passed.
func (b *Bucket) Take(cost float64, late bool) (ok bool, wait time.Duration) {
	need := cost
	if late {
		need += b.limit.Spare * b.limit.Size
	}
	need = min(need, b.limit.Size) // one that is larger than the bucket goes through when it is full
	if b.level >= need {
		b.level -= cost
		return true, 0
	}
	wait = time.Duration((need - b.level + b.promised) / b.limit.Rate * float64(time.Second))
	b.promised = min(b.promised+cost, mostPromised*b.limit.Rate)
	return false, wait
}

// Use takes off what was let in without asking, or gives back what was not used.
func (b *Bucket) Use(cost float64) { b.level = min(b.level-cost, b.limit.Size) }
