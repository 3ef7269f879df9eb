package fake

import (
	"fmt"
	"sync"

	"savoryreel.example/savoryreel/native"
)

// maxRecords bounds the KV records by request id, and those by handle.
const maxRecords = 256

// kvRecord describes a KV cache. No cache data is stored.
type kvRecord struct {
	Seed      uint64 `json:"seed,string"` // answerSeed of model and prompt
	Prompt    int    `json:"prompt"`      // tokens
	Generated int    `json:"generated"`   // tokens
}

func (r kvRecord) total() int { return r.Prompt + r.Generated }

// kvStore holds an engine's KV records by request id, and by handle once exported
// or imported. Each holds the newest maxRecords.
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

// boundedRecords holds up to maxRecords records and drops the oldest key beyond.
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

// prefillPlan counts the tokens that an engine prefills before it generates.
type prefillPlan struct {
	prefill    int // tokens to compute before the next token
	cached     int
	recomputed int
}

// planPrefill returns the plan for prompt p with cached tokens in the prefix cache.
// resume is nil for a new answer; kv is the KV cache that it refers to, valid if
// hasKV.
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
