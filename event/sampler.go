package event

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// DefaultSampledPerSecond is the default bound of a Sampler, in lines per second.
const DefaultSampledPerSecond = 100

// Sampler limits the rate of log lines about successful requests. Lines about refusals and
// failures are written without it. It counts the lines that it omits, and reports the count
// at most once per second as event LinesSampled. It is safe for concurrent use.
type Sampler struct {
	log          *slog.Logger
	now          func() time.Time
	maxPerSecond int

	mu          sync.Mutex
	secondStart time.Time
	written     int
	omitted     int
}

// NewSampler returns a Sampler that writes at most maxPerSecond lines per second to log.
func NewSampler(log *slog.Logger, now func() time.Time, maxPerSecond int) *Sampler {
	return &Sampler{log: log, now: now, maxPerSecond: maxPerSecond}
}

// Log writes a line of event k at level info, or counts it as omitted if the limit of this
// second is reached.
func (s *Sampler) Log(ctx context.Context, k Kind, attrs ...slog.Attr) {
	ok, omitted := s.admit()
	if omitted > 0 {
		Log(ctx, s.log, slog.LevelInfo, LinesSampled, slog.Int("lines", omitted), slog.Int("most", s.maxPerSecond))
	}
	if ok {
		Log(ctx, s.log, slog.LevelInfo, k, attrs...)
	}
}

// admit counts a line and reports whether to write it. With the first line of a new second
// it also returns how many lines were omitted in the previous one.
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
