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

// peersFor is how long a list of the entries stands without a new word. An entry that is
// cut off would go on to decide by itself what another one decides for all meanwhile.
const peersFor = 3 * time.Second

// known returns the digest of the list that is held.
func (p *peers) known() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.digest
}

// take takes a replica's list. Digest 0 comes with a reply that has none; names are left
// out where the digest is that of the list that is held.
func (p *peers) take(digest uint64, names []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if digest == 0 {
		return
	}
	p.at = now
	if digest != p.digest {
		p.digest, p.names = digest, names
	}
}

// entries returns the records of the entries that are up, this one among them if it is
// heard; none where no replica has told of late.
func (p *peers) entries(now time.Time) []directory.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() || now.Sub(p.at) > peersFor {
		return nil
	}
	return p.directory.Renew(p.names, now)
}
