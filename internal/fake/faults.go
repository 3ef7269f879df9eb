package fake

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
)

// Errors that Run returns, wrapped, when the stand-in ends before its context.
var (
	ErrCrashed = errors.New("stand-in crashed on a request")
	ErrKilled  = errors.New("stand-in was killed")
)

// Faults configures how a stand-in fails. The zero value is a healthy stand-in.
// As JSON it is the body of POST /fake/faults, which replaces all faults.
type Faults struct {
	CrashOn          string  `json:"crashOn,omitempty"`          // a request whose prompt (Plain: body) contains this text ends the stand-in
	Freeze           bool    `json:"freeze,omitempty"`           // accepts connections, but processes and announces nothing
	SlowFactor       float64 `json:"slowFactor,omitempty"`       // multiplies all simulated work times; 0 means 1
	StallAfterTokens int     `json:"stallAfterTokens,omitempty"` // after this many tokens a stream sends nothing more and stays open; 0: never
	Refuse           bool    `json:"refuse,omitempty"`           // answers 503 with Retry-After without running the request
}

// faultState holds the active faults, and why the stand-in ended if it did.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	thawed chan struct{} // closed while not frozen
	done   chan struct{} // closed when the stand-in ends
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

// slowFactor returns the factor for all simulated work times.
func (s *faultState) slowFactor() float64 {
	f := s.get().SlowFactor
	if f == 0 {
		return 1
	}
	return f
}

// end ends the stand-in with cause. Later calls have no effect.
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

// waitThawed blocks while frozen. It returns an error if ctx or the stand-in has
// ended.
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

// crashOnMatch ends the stand-in with ErrCrashed if text contains CrashOn. It
// returns the cause if the stand-in has ended.
func (s *faultState) crashOnMatch(text string) error {
	trigger := s.get().CrashOn
	if trigger != "" && strings.Contains(text, trigger) {
		s.end(ErrCrashed)
	}
	return s.endCause()
}

// guard blocks requests while frozen, and closes their connections without an
// answer once the stand-in has ended.
func (s *faultState) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.waitThawed(r.Context()) != nil {
			abort()
		}
		next.ServeHTTP(w, r)
	})
}

// refusedByFault reports whether the Refuse fault is set; if so, it has answered
// the request with 503.
func (s *faultState) refusedByFault(w http.ResponseWriter) bool {
	if !s.get().Refuse {
		return false
	}
	refuse(w, http.StatusServiceUnavailable, DefaultRetryAfter, "refused", "takes nothing at the moment")
	return true
}
