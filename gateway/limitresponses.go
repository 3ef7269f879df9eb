package gateway

import "sync"

const (
	// keptResponses is the number of latest responses to one entry that are kept. It exceeds what an
	// entry sends within the time of maxLimitAttempts.
	keptResponses = 32
	// maxRequesters bounds the entries whose responses are kept.
	maxRequesters = 4096
)

// sentResponses holds the latest responses to limitRequests, so that a request that is sent again gets
// the response of the first one and does not cost twice. It is safe for concurrent use.
type sentResponses struct {
	mu        sync.Mutex
	requester map[string]*requesterResponses // by name
}

// requesterResponses holds the latest responses to one incarnation of an entry.
type requesterResponses struct {
	incarnation uint64
	sequences   [keptResponses]uint64 // 0: none
	responses   [keptResponses]limitResponse
	next        int // position that is replaced next
}

// once returns the response to a message that was handled before, or calls decide and keeps its result.
// handled is false if decide knows no response.
func (s *sentResponses) once(m *message, decide func() (limitResponse, bool)) (response limitResponse, handled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requester[m.From]
	if r == nil || r.incarnation < m.Life {
		r = &requesterResponses{incarnation: m.Life}
		if s.requester == nil || len(s.requester) >= maxRequesters {
			s.requester = make(map[string]*requesterResponses)
		}
		s.requester[m.From] = r
	}
	for i, sequence := range r.sequences {
		if sequence == m.Sequence && sequence != 0 {
			return r.responses[i], true
		}
	}
	response, handled = decide()
	if handled {
		r.sequences[r.next], r.responses[r.next] = m.Sequence, response
		r.next = (r.next + 1) % keptResponses
	}
	return response, handled
}
