package gateway

import (
	"sync"
	"time"

	"savoryreel.example/savoryreel/directory"
)

// peers is the list of live entries that control replicas have reported last.
type peers struct {
	directory *directory.Store

	mu          sync.Mutex
	names       []string
	digest      uint64    // of names, computed by the replica; 0: no list yet
	confirmedAt time.Time // last report with this digest

	records peerRecords // of names
}

// peerRecords holds the records of a list of entries, and what they were read for.
type peerRecords struct {
	entries []directory.Entry
	digest  uint64
	change  uint64 // last change of an entry's record in the directory
	readAt  time.Time
}

// recordsTTL is how long the records are kept while neither the list nor a record changes. It is
// far below directory.DefaultForgetAfter, since reading them keeps them in the directory.
const recordsTTL = 10 * time.Second

// peersTTL is how long a list is used without confirmation. It outlasts most losses of the
// control replicas; without a list no entry owns servers or pools for others.
const peersTTL = 10 * time.Second

// currentDigest returns the digest of the current list.
func (p *peers) currentDigest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.digest
}

// update applies a replica's report: the digest of its list, and the names if the digest
// differs from the current one and the replica is the one that sends names. Every replica
// with the same list confirms it, so that the list does not expire when the one that sends
// names is frozen.
//
// It reports whether the list has changed.
func (p *peers) update(digest uint64, names []string, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(names) > 0:
		changed = digest != p.digest
		p.digest, p.names, p.confirmedAt = digest, names, now
	case digest == p.digest:
		p.confirmedAt = now
	}
	return changed
}

// entries returns the records of the live entries, including this one if replicas receive
// its heartbeats; none if the list has expired. The result must not be changed.
func (p *peers) entries(now time.Time) []directory.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.confirmedAt.IsZero() || now.Sub(p.confirmedAt) > peersTTL {
		return nil
	}
	change := p.directory.LastEntryChange()
	if r := &p.records; r.digest == p.digest && r.change == change && now.Sub(r.readAt) < recordsTTL {
		return r.entries
	}
	p.records = peerRecords{entries: p.directory.Refresh(p.names, now), digest: p.digest, change: change, readAt: now}
	return p.records.entries
}
