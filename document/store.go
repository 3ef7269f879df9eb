package document

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxOlderBytes bounds the versions before the newest that a Store keeps, as bases of
	// differences and for transfers in progress.
	maxOlderBytes = 4 << 20
	// transferKeep is how long a version is kept after a part of it was sent, within
	// maxBytes: otherwise changes that follow each other faster than a slow receiver takes
	// one would leave it with none.
	transferKeep = 5 * time.Second
	maxBytes     = 4 * maxOlderBytes
	// maxDifferences bounds the differences that are kept. Receivers mostly have one of the last
	// two versions.
	maxDifferences = 4
	// defaultPartBytes is the size of a part if the request has none.
	defaultPartBytes = 64 << 10
)

// Store holds the last versions of a document and sends them in parts. It is safe for concurrent
// use.
type Store struct {
	now func() time.Time

	mu          sync.Mutex
	versions    []storedVersion // ascending by revision
	differences []storedDifference
}

type storedVersion struct {
	Version
	content []byte
	sentAt  time.Time
}

type storedDifference struct {
	base, target Version
	operations   []byte
}

// NewStore returns an empty Store.
func NewStore(now func() time.Time) *Store { return &Store{now: now} }

// Put adds the newest version. One that is not above the newest is ignored. The Store retains
// content.
func (s *Store) Put(revision uint64, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.versions); n > 0 && revision <= s.versions[n-1].Revision {
		return
	}
	s.versions = append(s.versions, storedVersion{Version: VersionOf(revision, content), content: content})
	s.evict()
}

// evict drops old versions. The caller holds s.mu.
func (s *Store) evict() {
	older := 0
	for i := range s.versions[:len(s.versions)-1] {
		older += len(s.versions[i].content)
	}
	now := s.now()
	newest := s.versions[len(s.versions)-1].Revision
	s.versions = slices.DeleteFunc(s.versions, func(v storedVersion) bool {
		inTransfer := now.Sub(v.sentAt) < transferKeep
		drop := v.Revision != newest && (older > maxBytes || older > maxOlderBytes && !inTransfer)
		if drop {
			older -= len(v.content)
		}
		return drop
	})
}

// Part returns the requested part.
func (s *Store) Part(r *Request) Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions) == 0 {
		return Part{Status: StatusNone}
	}
	target := &s.versions[len(s.versions)-1]
	if r.Continues {
		if target = s.find(r.Target); target == nil {
			return Part{Status: StatusUnknown}
		}
	} else if r.HasBase && r.Base.Revision >= target.Revision {
		return Part{Status: StatusNone}
	}
	content, difference := target.content, false
	if r.HasBase && !r.Whole && (!r.Continues || r.Difference) {
		if operations, ok := s.difference(r.Base, target); ok {
			content, difference = operations, true
		}
	}
	if r.Continues && r.Difference != difference {
		return Part{Status: StatusUnknown}
	}
	target.sentAt = s.now()
	return partOf(content, r, target.Version, difference)
}

func partOf(content []byte, r *Request, target Version, difference bool) Part {
	from := min(max(r.Offset, 0), len(content))
	size := r.MaxBytes
	if size <= 0 {
		size = defaultPartBytes
	}
	to := min(from+size, len(content))
	return Part{Target: target, Difference: difference, Size: len(content), Offset: from, Data: content[from:to]}
}

// find returns a version that is held, or nil. The caller holds s.mu.
func (s *Store) find(v Version) *storedVersion {
	i := slices.IndexFunc(s.versions, func(held storedVersion) bool { return held.Version == v })
	if i < 0 {
		return nil
	}
	return &s.versions[i]
}

// difference returns the difference between two versions, unless base is not held or the
// difference is not smaller than target. The caller holds s.mu, so that a difference which many
// receivers need is made once.
func (s *Store) difference(base Version, target *storedVersion) ([]byte, bool) {
	i := slices.IndexFunc(s.differences, func(d storedDifference) bool { return d.base == base && d.target == target.Version })
	if i < 0 {
		held := s.find(base)
		if held == nil {
			return nil, false
		}
		if len(s.differences) >= maxDifferences {
			s.differences = slices.Delete(s.differences, 0, 1)
		}
		s.differences = append(s.differences, storedDifference{base: base, target: target.Version, operations: Difference(held.content, target.content)})
		i = len(s.differences) - 1
	}
	operations := s.differences[i].operations
	return operations, len(operations) < len(target.content)
}
