package coordinator

import (
	"context"
	"sync"
	"time"

	"savoryreel.example/savoryreel/directory"
)

// leaveSaver writes the servers that have left to disk, so that their leaves outlast a restart of all
// processes. One write serves all calls of save that wait. It is safe for concurrent use.
type leaveSaver struct {
	cache *serverCache // used by one goroutine at a time
	left  func(now time.Time) []directory.Server
	now   func() time.Time

	mu      sync.Mutex
	writing bool
	waiting []chan error // each receives one value
}

// save returns once all leaves that are recorded now are on disk, or with ctx's error: a disk may hang.
func (s *leaveSaver) save(ctx context.Context) error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, done)
	if !s.writing {
		s.writing = true
		go s.write()
	}
	s.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write writes until no call waits.
func (s *leaveSaver) write() {
	for {
		s.mu.Lock()
		batch := s.waiting
		s.waiting = nil
		if len(batch) == 0 {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		now := s.now()
		err := s.cache.save(cachedState{At: now, Servers: s.left(now)})
		for _, done := range batch {
			done <- err
		}
	}
}
