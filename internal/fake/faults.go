package fake

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
)

// Errors with which Run ends other than by its context.
var (
	ErrCrashed = errors.New("stand-in crashed on a request")
	ErrKilled  = errors.New("stand-in was killed")
)

// Faults are the ways in which a test can make a stand-in fail. The zero value
// is a healthy one. As JSON it is the body of POST /fake/faults, which
// replaces all of them.
type Faults struct {
	CrashOn          string  `json:"crashOn,omitempty"`          // a request whose prompt (plain: body) holds this ends the stand-in
	Freeze           bool    `json:"freeze,omitempty"`           // takes connections, does nothing, announces nothing
	SlowFactor       float64 `json:"slowFactor,omitempty"`       // multiplies all times of work; 0 means 1
	StallAfterTokens int     `json:"stallAfterTokens,omitempty"` // a stream's bytes after so many tokens are lost, its connection stays open; 0: never
	Refuse           bool    `json:"refuse,omitempty"`           // 503 with Retry-After, before running
}

// faultState holds the faults in force, and whether the stand-in still lives.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	thawed chan struct{} // closed while not frozen
	done   chan struct{} // closed at the end
	cause  error
}

func newFaultState() *faultState {
	thawed := make(chan struct{})
	close(thawed)
	return &faultState{thawed: thawed, done: make(chan struct{})}
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// slow returns the factor on all times of work.
func (s *faultState) slowFactor() float64 {
	f := s.get().SlowFactor
	if f == 0 {
		return 1
	}
	return f
}

// end stops the stand-in for good; only the first cause counts.
func (s *faultState) end(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cause != nil {
		return
	}
	s.cause = cause
	close(s.done)
}

func (s *faultState) endCause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// pass waits while frozen. It returns an error once ctx or the stand-in ends.
func (s *faultState) waitThawed(ctx context.Context) error {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
	case <-s.done:
	case <-ctx.Done():
	}
	if err := s.endCause(); err != nil {
		return err
	}
	return ctx.Err()
}

// crashIfAsked ends the stand-in when text holds the crash switch's text.
func (s *faultState) crashOnMatch(text string) error {
	trigger := s.get().CrashOn
	if trigger != "" && strings.Contains(text, trigger) {
		s.end(ErrCrashed)
	}
	return s.endCause()
}

// guard holds requests while frozen and cuts the connection once ended.
func (s *faultState) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.waitThawed(r.Context()) != nil {
			abort()
		}
		next.ServeHTTP(w, r)
	})
}

// refuses answers the request itself while the refuse fault is in force.
func (s *faultState) refusedByFault(w http.ResponseWriter) bool {
	if !s.get().Refuse {
		return false
	}
	refuse(w, http.StatusServiceUnavailable, DefaultRetryAfter, "refused", "takes nothing at the moment")
	return true
}
