package fake

import (
	"fmt"
	"sync"

	"savoryreel.example/savoryreel/native"
)

// keptRecords bounds the KV records of ended requests and of handles, each.
const maxRecords = 256

// kvRecord describes a KV cache; there are no bytes behind it.
type kvRecord struct {
	Seed      uint64 `json:"seed,string"` // of model and prompt: which answer it belongs to
	Prompt    int    `json:"prompt"`      // tokens
	Generated int    `json:"generated"`   // tokens
}

func (r kvRecord) total() int { return r.Prompt + r.Generated }

// kvStore holds the KV records of an engine: by request id while it runs and
// for a while after, and by handle once exported or imported.
type kvStore struct {
	mu           sync.Mutex
	handlePrefix string
	lastHandle   int
	byRequest    boundedRecords
	byHandle     boundedRecords
}

func newKVStore(handlePrefix string) *kvStore {
	return &kvStore{handlePrefix: handlePrefix, byRequest: newBoundedRecords(), byHandle: newBoundedRecords()}
}

func (s *kvStore) record(requestID string, r kvRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRequest.put(requestID, r)
}

func (s *kvStore) export(requestID string) (string, kvRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byRequest.records[requestID]
	if !ok {
		return "", kvRecord{}, false
	}
	return s.addHandle(r), r, true
}

func (s *kvStore) addImported(r kvRecord) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addHandle(r)
}

func (s *kvStore) addHandle(r kvRecord) string {
	s.lastHandle++
	handle := fmt.Sprintf("%s-kv-%d", s.handlePrefix, s.lastHandle)
	s.byHandle.put(handle, r)
	return handle
}

func (s *kvStore) get(handle string) (kvRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byHandle.records[handle]
	return r, ok
}

// boundedRecords forgets the oldest key beyond keptRecords.
type boundedRecords struct {
	records map[string]kvRecord
	order   []string
}

func newBoundedRecords() boundedRecords {
	return boundedRecords{records: make(map[string]kvRecord)}
}

func (b *boundedRecords) put(key string, r kvRecord) {
	if _, ok := b.records[key]; !ok {
		b.order = append(b.order, key)
	}
	b.records[key] = r
	if len(b.order) > maxRecords {
		delete(b.records, b.order[0])
		b.order = b.order[1:]
	}
}

// resumePlan says what an engine prefills before it goes on with an answer.
type prefillPlan struct {
	prefill    int // tokens to compute before the next token
	cached     int
	recomputed int
}

// planPrefill weighs a request's prompt, its tokens so far and the KV cache
// that it names, if any.
func planPrefill(p prompt, cached int, resume *native.Resume, kv kvRecord, hasKV bool) prefillPlan {
	if resume == nil {
		return prefillPlan{prefill: p.totalTokens - cached, cached: cached}
	}
	resumed := len(resume.Tokens)
	if hasKV {
		missing := resumed - min(resumed, kv.Generated)
		return prefillPlan{prefill: missing, recomputed: missing}
	}
	toCompute := p.totalTokens - cached + resumed
	return prefillPlan{prefill: toCompute, cached: cached, recomputed: toCompute}
}
