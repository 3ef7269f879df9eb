package event

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// DefaultOrdinary is how many lines of ordinary success a process writes in a
// second: some four times what an entry of today's sites answers, at about 20
// microseconds a line a fifth of a percent of a core.
const DefaultSampledPerSecond = 100

// Sampler bounds the lines that tell of ordinary success. Lines of refusals and
// failures do not go through it. What it leaves out is counted in a line of its own,
// once a second.
type Sampler struct {
	log          *slog.Logger
	now          func() time.Time
	maxPerSecond int

	mu          sync.Mutex
	secondStart time.Time
	written     int
	omitted     int
}

// NewSampler returns a Sampler that lets most lines a second through.
func NewSampler(log *slog.Logger, now func() time.Time, maxPerSecond int) *Sampler {
	return &Sampler{log: log, now: now, maxPerSecond: maxPerSecond}
}

// Log writes a line of kind k at level info, if there is room for it.
func (s *Sampler) Log(ctx context.Context, k Kind, attrs ...slog.Attr) {
	ok, omitted := s.admit()
	if omitted > 0 {
		Log(ctx, s.log, slog.LevelInfo, LinesSampled, slog.Int("lines", omitted), slog.Int("most", s.maxPerSecond))
	}
	if ok {
		Log(ctx, s.log, slog.LevelInfo, k, attrs...)
	}
}

// admit counts a line; left is how many were left out in the second before, told
// once.
func (s *Sampler) admit() (ok bool, omitted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.secondStart) >= time.Second {
		omitted = s.omitted
		s.secondStart, s.written, s.omitted = now, 0, 0
	}
	if s.written >= s.maxPerSecond {
		s.omitted++
		return false, omitted
	}
	s.written++
	return true, omitted
}
