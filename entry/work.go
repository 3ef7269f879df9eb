package entry

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"savoryreel.example/savoryreel/request"
)

// work is an accepted chat request and its answer at this entry.
type work struct {
	request *request.Request
	journal *request.Journal
	ticket  *ticket

	ctx    context.Context    // of the attempts; ends at the deadline
	cancel context.CancelFunc // ends the attempts

	mu               sync.Mutex
	followers        int                     // number of callers that read the answer now
	lastFollowerLeft time.Time               // when the last caller stopped reading, or the work was taken over
	takenOver        bool                    // taken over from another entry, and its caller has not connected yet
	endedAt          time.Time               // when the answer ended; zero if it has not
	currentGrant     *grant                  // of the running attempt, or nil
	kvSource         string                  // address of the engine from which the next attempt imports the KV cache, or empty
	interrupt        context.CancelCauseFunc // cancels the current step
	paused           chan struct{}           // not nil while a pause is requested; closed once attempts have stopped
	resumed          chan struct{}           // closed when the work may continue
}

// errPaused is the cause of the end of an attempt whose request is to be handed over.
var errPaused = errors.New("paused for a hand-over")

// stepContext returns the context of the next step, which pause cancels with errPaused.
func (w *work) stepContext() (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(w.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupt = cancel
	if w.paused != nil {
		cancel(errPaused)
	}
	return ctx, cancel
}

// waitForResume confirms a requested pause and waits until the work is resumed. Without a
// pause it returns at once. It reports false if the work's context has ended.
func (w *work) waitForResume() bool {
	w.mu.Lock()
	paused, resumed := w.paused, w.resumed
	w.mu.Unlock()
	if paused == nil {
		return w.ctx.Err() == nil
	}
	close(paused)
	select {
	case <-resumed:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// pause stops the work's attempts and returns true once no more tokens can be appended. It
// returns false if the work is being paused already, if the answer has ended, or if it is
// about to end because the work's context has ended.
func (w *work) pause() bool {
	w.mu.Lock()
	if w.paused != nil || w.journal.Ended() != nil {
		w.mu.Unlock()
		return false
	}
	w.paused, w.resumed = make(chan struct{}), make(chan struct{})
	paused, interrupt := w.paused, w.interrupt
	w.mu.Unlock()
	if interrupt != nil {
		interrupt(errPaused)
	}
	select {
	case <-paused:
	case <-w.ctx.Done():
		return false // the attempt may still append a token, which a copy of the journal would lack
	}
	return w.journal.Ended() == nil
}

// resume continues paused work.
func (w *work) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.resumed)
	w.paused = nil
}

// orphaned reports whether the work was taken over from another entry and its caller has not
// connected here within timeout.
func (w *work) orphaned(now time.Time, timeout time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takenOver && w.followers == 0 && !w.request.Keep && now.Sub(w.lastFollowerLeft) > timeout
}

// addFollower counts a caller that begins to read the answer.
func (w *work) addFollower() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers++
	w.takenOver = false // its caller has connected
}

// removeFollower counts a caller that stops reading. It reports whether the work can be
// cancelled: no caller reads the answer, and the request is not to be kept.
func (w *work) removeFollower(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers--
	w.lastFollowerLeft = now
	return w.followers == 0 && !w.request.Keep && !w.takenOver
}

// markEnded records when the answer ended. From then on the work is stored only for callers
// that reconnect.
func (w *work) markEnded(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedAt = now
}

// expired reports whether the answer ended more than ttl ago and no caller has read it
// within ttl.
func (w *work) expired(now time.Time, ttl time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.endedAt.IsZero() && w.followers == 0 && now.Sub(w.endedAt) > ttl && now.Sub(w.lastFollowerLeft) > ttl
}

// registryShards is a power of two well above the usual number of cores, so that concurrent
// requests seldom contend for a shard.
const registryShards = 64

// registry holds this entry's work by request id, sharded to reduce lock contention.
type registry struct {
	seed   maphash.Seed
	shards [registryShards]registryShard
}

type registryShard struct {
	mu   sync.Mutex
	work map[request.ID]*work
}

func newRegistry() *registry {
	r := &registry{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].work = map[request.ID]*work{}
	}
	return r
}

func (r *registry) shard(id request.ID) *registryShard {
	return &r.shards[maphash.String(r.seed, string(id))%registryShards]
}

// add registers w and reports true. If its id is registered already, add returns the
// registered work and false, so that a request that is handed over twice runs once.
func (r *registry) add(w *work) (*work, bool) {
	s := r.shard(w.request.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, known := s.work[w.request.ID]; known {
		return existing, false
	}
	s.work[w.request.ID] = w
	return w, true
}

func (r *registry) get(id request.ID) (*work, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.work[id]
	return w, ok
}

func (r *registry) remove(id request.ID) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.work, id)
}

// all returns all registered work.
func (r *registry) all() []*work {
	var out []*work
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, w := range s.work {
			out = append(out, w)
		}
		s.mu.Unlock()
	}
	return out
}

// unfinished counts the work whose answer has not ended.
func (r *registry) unfinished() int {
	n := 0
	for _, w := range r.all() {
		if w.journal.Ended() == nil {
			n++
		}
	}
	return n
}

// cost returns the request's cost by the tokens generated so far.
func (w *work) cost() int {
	return answerCost(w.ticket.route.PromptTokens, len(w.journal.Tokens()))
}

// followerCount counts the callers that read an answer now.
func (r *registry) followerCount() int {
	n := 0
	for _, w := range r.all() {
		w.mu.Lock()
		n += w.followers
		w.mu.Unlock()
	}
	return n
}
