package entry

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"savoryreel.example/savoryreel/request"
)

// work is one accepted chat request while this entry holds it.
type work struct {
	request *request.Request
	journal *request.Journal
	ticket  *ticket

	ctx    context.Context    // of the attempts; ends at the deadline
	cancel context.CancelFunc // ends the attempts

	mu               sync.Mutex
	followers        int       // callers that read the answer now
	lastFollowerLeft time.Time // when the last follower left; zero: none has
	takenOver        bool      // came from another entry: its caller may still be on the way
	endedAt          time.Time // when the answer ended; zero: it goes on
	currentGrant     *grant    // where the attempt runs; nil: nowhere
	kvSource         string    // address of the engine whose KV cache goes along
	interrupt        context.CancelCauseFunc
	paused           chan struct{} // not nil: the work is to pause; closed once it has
	resumed          chan struct{} // closed when the work may go on
}

// errPaused is why an attempt ends when its request is to be handed over.
var errPaused = errors.New("paused for a hand-over")

// arm returns the context of the next step, which a pause interrupts.
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

// park waits out a pause. It reports false when the work has ended meanwhile.
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

// pause stops the work's attempts and returns once no more tokens can come. It
// reports false when the answer has ended or is about to: its deadline passed or
// nobody waits for it.
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
		return false // a token may still be on its way, which a copy of the journal would lack
	}
	return w.journal.Ended() == nil
}

// resume lets paused work go on.
func (w *work) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.resumed)
	w.paused = nil
}

// orphaned reports whether the work came from another entry and its caller has
// not come for it.
func (w *work) orphaned(now time.Time, timeout time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.takenOver && w.followers == 0 && !w.request.Keep && now.Sub(w.lastFollowerLeft) > timeout
}

// follow counts a caller that reads the answer.
func (w *work) addFollower() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers++
	w.takenOver = false // its caller has come
}

// unfollow counts a caller that stopped reading and reports whether nobody is
// left who wants the answer.
func (w *work) removeFollower(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers--
	w.lastFollowerLeft = now
	return w.followers == 0 && !w.request.Keep && !w.takenOver
}

// ended notes when the answer ended: from then on it is only held for callers
// that come back.
func (w *work) markEnded(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedAt = now
}

// disposable reports whether the answer has ended and nobody has asked for it
// for long.
func (w *work) expired(now time.Time, ttl time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.endedAt.IsZero() && w.followers == 0 && now.Sub(w.endedAt) > ttl && now.Sub(w.lastFollowerLeft) > ttl
}

// registryShards is a power of two well above the number of cores, so that two
// requests seldom want the same shard at once.
const registryShards = 64

// registry holds this entry's work by request id.
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

// add registers w unless its id is registered already, and returns what is
// registered: a request handed over twice must run once.
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

// all returns the work held now.
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

// unfinished counts the work whose answer is not whole yet.
func (r *registry) unfinished() int {
	n := 0
	for _, w := range r.all() {
		if w.journal.Ended() == nil {
			n++
		}
	}
	return n
}

// cost is the request's work in tokens as it turned out.
func (w *work) cost() int {
	return answerCost(w.ticket.route.PromptTokens, len(w.journal.Tokens()))
}

// followed counts the callers that read an answer now.
func (r *registry) followerCount() int {
	n := 0
	for _, w := range r.all() {
		w.mu.Lock()
		n += w.followers
		w.mu.Unlock()
	}
	return n
}
