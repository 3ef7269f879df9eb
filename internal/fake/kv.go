package fake

import (
	"fmt"
	"sync"

	"savoryreel.example/savoryreel/native"
)

// keptRecords bounds the KV records of ended requests and of handles, each.
const keptRecords = 256

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
	mu        sync.Mutex
	prefix    string
	count     int
	byRequest boundedRecords
	byHandle  boundedRecords
}

func newKVStore(prefix string) *kvStore {
	return &kvStore{prefix: prefix, byRequest: newBoundedRecords(), byHandle: newBoundedRecords()}
}

func (s *kvStore) note(requestID string, r kvRecord) {
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
	return s.add(r), r, true
}

func (s *kvStore) imported(r kvRecord) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(r)
}

func (s *kvStore) add(r kvRecord) string {
	s.count++
	handle := fmt.Sprintf("%s-kv-%d", s.prefix, s.count)
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
	if len(b.order) > keptRecords {
		delete(b.records, b.order[0])
		b.order = b.order[1:]
	}
}

// resumePlan says what an engine prefills before it goes on with an answer.
type resumePlan struct {
	prefill    int // tokens to compute before the next token
	cached     int
	recomputed int
}

// planPrefill weighs a request's prompt, its tokens so far and the KV cache
// that it names, if any.
func planPrefill(p prompt, cached int, resume *native.Resume, kv kvRecord, hasKV bool) resumePlan {
	if resume == nil {
		return resumePlan{prefill: p.total - cached, cached: cached}
	}
	given := len(resume.Tokens)
	if hasKV {
		missing := given - min(given, kv.Generated)
		return resumePlan{prefill: missing, recomputed: missing}
	}
	again := p.total - cached + given
	return resumePlan{prefill: again, cached: cached, recomputed: again}
}
