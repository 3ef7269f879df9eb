package gateway

import (
	"math"
	"sync"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/policy/booking"
	"savoryreel.example/savoryreel/routes"
	"savoryreel.example/savoryreel/site"
)

const (
	// slackPart is the part of what the site's users allow beyond a limit that the
	// entries let in on purpose. A request that one bucket for all entries would have
	// let in is refused less often then, though none of them is that bucket. The rest
	// covers what has not been heard of yet.
	slackPart = 0.3
	// ownedPart is the same part where one entry decides for all. The rest covers what
	// entries let in that don't reach it, and two entries that decide for a moment.
	ownedPart = 0.6
	// newOwnerPart bounds what a new owner begins with, in the same part. One that has just
	// started has heard of nobody's use: with a full bucket it would let in a second time
	// what the owner before it has let in, and entries that start in turn pass the limit
	// for all. Three owners in a row fit what ownedPart leaves.
	newOwnerPart = 0.1
	// othersFor is how long the last word on the others' use counts. An entry that
	// hears nothing for longer holds itself to its own part of each limit.
	othersFor = 1500 * time.Millisecond
	// rateMemory is the time constant of the others' rate: short enough to follow a
	// surge within a few reports.
	rateMemory = 500 * time.Millisecond
	// wordAge is how old the others' counts are when they arrive here: half of the
	// time between an entry's calls, less what several replicas make up for.
	wordAge = 150 * time.Millisecond
	// jumpCount is how many requests an entry must have let in within rateMemory or so
	// to take them for a sign of what all others let in.
	jumpCount = 2.5
	// lateLeaves is the part of a limit's burst that requests whose objective has passed
	// leave to those that can still be in time. They are let in once the workspace sends
	// less than its limit, which fills the bucket within seconds.
	lateLeaves = 0.25
)

// limiter holds each workspace to its limit, which is over all entries together.
//
// Without it one workspace that sends many times its usual would take the engines
// from all others. With a fixed part of the limit for each entry, callers that do
// not spread evenly would be refused within their limit, the more the more entries
// there are. So each entry follows the use of all others: it draws what they report
// from the same bucket, and counts on them to go on as they did.
type limiter struct {
	bounds site.Bounds

	mu      sync.Mutex
	entries int
	buckets map[string]*bucket // by workspace
	heard   map[string]*replicaUse
	others  map[string]float64 // what all others have let in, by workspace
	at      time.Time          // of the last report on the others
}

// bucket is a token bucket of one workspace.
type bucket struct {
	workspace routes.Workspace
	level     float64 // of the whole limit, as far as known; below 0 it is overdrawn
	own       float64 // of this entry's part, for when nothing is heard of the others
	at        time.Time

	let  float64 // let in here since the start
	seen float64 // of the others' use, as drawn from level
	rate float64 // of the others, a second

	// What was let in here, the largest request of it, and how many there were, all
	// decaying with rateMemory.
	lately  float64
	largest float64
	count   float64
}

// unheard is what the others are taken to have let in since their last word: at the
// rate that they had, or at this entry's own if that is higher. When a workspace's
// load jumps, every entry sees it at once, and hears of the others' part only
// later; meanwhile all of them would let in what one of them may.
//
// Where little of the limit is used, a single large request is no jump: taken for one,
// it shut out the requests behind it of workspaces that used a third of their limit,
// some six in a thousand of all.
//
// Nor do one or two requests tell of a jump: with hundreds of entries each lets in one of
// a workspace now and then, and taken for what all of them let in it shut out the next.
func (b *bucket) unheard(age time.Duration, entries int) float64 {
	own := b.lately
	if b.count < jumpCount {
		own = 0
	}
	if b.level > b.workspace.Burst/2 {
		own -= b.largest
	}
	own /= rateMemory.Seconds()
	return max(b.rate, own*float64(entries-1)) * (age + wordAge).Seconds()
}

// replicaUse is what one control replica has told of the others' use. Each replica
// counts from its own start, so only what has come since the first word counts.
type replicaUse struct {
	life uint64
	base map[string]float64
}

func newLimiter(b site.Bounds) *limiter {
	return &limiter{
		bounds: b, entries: 1, buckets: make(map[string]*bucket), heard: make(map[string]*replicaUse), others: make(map[string]float64),
	}
}

func (l *limiter) setEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// setWorkspaces takes the limits of a catalogue. What a bucket holds stays, down
// to its new size. A new one begins with this entry's part: what the others have
// let in is not known yet.
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
			part := l.size(&w) / float64(l.entries)
			b = &bucket{at: now, level: part, own: part, seen: l.others[w.Name]}
		}
		b.workspace = w
		next[w.Name] = b
	}
	l.buckets = next
}

// size is what a workspace may use at once.
func (l *limiter) size(w *routes.Workspace) float64 { return w.Burst + slackPart*l.bounds.QuotaSlack }

// rate is what a workspace may use in a second.
func (l *limiter) rate(w *routes.Workspace) float64 {
	return w.PerSecond * (1 + slackPart*l.bounds.QuotaOverrun)
}

// fill brings a bucket up to now.
func (l *limiter) fill(b *bucket, now time.Time) {
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	size, rate, part := l.size(&b.workspace), l.rate(&b.workspace), float64(l.entries)
	b.level = min(b.level+rate*elapsed, size)
	b.own = min(b.own+rate/part*elapsed, size/part)
	fade := math.Exp(-elapsed / rateMemory.Seconds())
	b.lately *= fade
	b.largest *= fade
	b.count *= fade
	b.at = now
}

// take uses up cost of the workspace's limit, or says when there will be enough. late
// says that the request's objective has passed.
func (l *limiter) take(workspace string, cost float64, late bool, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil {
		return true, 0
	}
	l.fill(b, now)
	part := l.rate(&b.workspace) / float64(l.entries)
	have, size := b.own, l.size(&b.workspace)/float64(l.entries)
	if age := now.Sub(l.at); age <= othersFor && !l.at.IsZero() {
		have, size = b.level-b.unheard(age, l.entries), l.size(&b.workspace)
	}
	need := cost
	if late {
		need += lateLeaves * size
	}
	need = min(need, size) // one that is larger than the bucket goes through when it is full
	if have < need {
		// Each entry turns callers away at the same time. Told when there will be enough
		// for one, all of them would come back then, and all but one in vain.
		return false, time.Duration((need - have) / part * float64(time.Second))
	}
	b.use(cost)
	return true, 0
}

// limits reports whether a workspace has a limit.
func (l *limiter) limits(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[workspace] != nil
}

// noteUsed notes what the owner of a workspace's limit has let in here.
func (l *limiter) noteUsed(workspace string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		l.fill(b, now)
		b.use(cost)
	}
}

func (b *bucket) use(cost float64) {
	b.level -= cost
	b.own -= cost
	b.let += cost
	b.lately += cost
	b.largest = max(b.largest, cost)
	b.count++
}

// owned returns the one bucket of a workspace's limit for which this entry decides. A new
// one begins with what is left as far as has been heard.
func (l *limiter) owned(kept *booking.Limits, workspace string, now time.Time) *booking.Bucket {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspace]
	if b == nil {
		return nil
	}
	l.fill(b, now)
	w := &b.workspace
	allowed := l.bounds.QuotaOverrun*(w.PerSecond*l.bounds.QuotaWindow.Seconds()+w.Burst) + l.bounds.QuotaSlack
	limit := booking.Limit{Size: w.Burst + ownedPart*allowed, Rate: w.PerSecond, Spare: lateLeaves}
	return kept.Bucket(workspace, limit, min(b.level, newOwnerPart*allowed), now)
}

// refund gives back what a request that did not run had used up.
func (l *limiter) refund(workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace]; b != nil {
		b.level += cost
		b.own += cost
		b.let -= cost
	}
}

// used returns what has been let in here, for the other entries.
func (l *limiter) used() []api.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]api.Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		if b.let != 0 {
			out = append(out, api.Use{Workspace: name, Amount: b.let})
		}
	}
	return out
}

// noteOthers takes a replica's word on what all other entries have let in. life
// changes when the replica starts anew and counts from nothing.
func (l *limiter) noteOthers(replica string, life uint64, uses []api.Use, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.heard[replica]
	if h == nil || h.life != life {
		h = &replicaUse{life: life, base: make(map[string]float64)}
		l.heard[replica] = h
	}
	told := make(map[string]float64, len(uses))
	for _, u := range uses {
		told[u.Workspace] = u.Amount
		base, known := h.base[u.Workspace]
		if !known {
			// What this replica counted before is in what others told, or is too old.
			base = u.Amount - l.others[u.Workspace]
			h.base[u.Workspace] = base
		}
		// Replicas differ by what has reached them: the one that knows most counts.
		l.others[u.Workspace] = max(l.others[u.Workspace], u.Amount-base)
	}
	elapsed := now.Sub(l.at).Seconds()
	weight := 1 - math.Exp(-elapsed/rateMemory.Seconds())
	for name, b := range l.buckets {
		l.fill(b, now)
		fresh := l.others[name] - b.seen
		b.level -= fresh
		b.seen = l.others[name]
		if elapsed > 0 && !l.at.IsZero() {
			b.rate += weight * (fresh/elapsed - b.rate)
		}
	}
	l.at = now
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
