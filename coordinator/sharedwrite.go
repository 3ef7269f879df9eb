package coordinator

import (
	"context"
	"sync"
)

// sharedWrite writes state to disk for several calls at once: one write serves all calls of save that
// wait. It is safe for concurrent use.
type sharedWrite struct {
	write func() error // writes the present state; called by one goroutine at a time

	mu      sync.Mutex
	writing bool
	waiting []chan error // each receives one value
}

// save returns once the state of now is on disk, or with ctx's error: a disk may hang.
func (s *sharedWrite) save(ctx context.Context) error {
	done := make(chan error, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, done)
	if !s.writing {
		s.writing = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run writes until no call waits.
func (s *sharedWrite) run() {
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
		err := s.write()
		for _, done := range batch {
			done <- err
		}
	}
}
