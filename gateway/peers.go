package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/directory"
)

// peers is the entries that a control replica hears, as it told last.
type peers struct {
	directory *directory.Store

	mu     sync.Mutex
	names  []string
	digest uint64    // of names, as the replica makes it; 0: nothing was told yet
	at     time.Time // of the last word
}

// peersFor is how long a list of the entries stands without a new word. Without one no
// entry keeps books or limits for the others, so it outlasts most losses of the control
// replicas.
const peersFor = 10 * time.Second

// known returns the digest of the list that is held.
func (p *peers) known() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.digest
}

// take takes a replica's word: the digest of its list, and the names from the replica
// that sends them, if the digest is not that of the list that is held. Any replica of the
// same list confirms it; if only the one that sends names did, the list would lapse when
// that one is frozen, before another one is asked for it.
//
// It reports whether the list is another one than before.
func (p *peers) take(digest uint64, names []string, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(names) > 0:
		changed = digest != p.digest
		p.digest, p.names, p.at = digest, names, now
	case digest == p.digest:
		p.at = now
	}
	return changed
}

// entries returns the records of the entries that are up, this one among them if it is
// heard; none where no replica has told of late.
func (p *peers) entries(now time.Time) []directory.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() || now.Sub(p.at) > peersFor {
		return nil
	}
	return p.directory.Refresh(p.names, now)
}
