package replica

import "slices"

// kindIndexes holds the highest index of an entry of each kind, or 0.
type kindIndexes [256]uint64

func (k *kindIndexes) add(entries []Entry) {
	for _, e := range entries {
		k[e.Kind] = max(k[e.Kind], e.Index)
	}
}

func (k *kindIndexes) list() []KindIndex {
	var out []KindIndex
	for kind, index := range k {
		if index > 0 {
			out = append(out, KindIndex{Kind: uint8(kind), Index: index})
		}
	}
	return out
}

func newKindIndexes(list []KindIndex) kindIndexes {
	var k kindIndexes
	for _, x := range list {
		k[x.Kind] = x.Index
	}
	return k
}

// entryLog is the in-memory part of the log: all entries after base.
//
// Messages share slices of entries, so elements are never overwritten: truncation
// and compaction copy.
type entryLog struct {
	base           Position
	baseLastByKind kindIndexes // of entries up to base
	lastByKind     kindIndexes // of all entries
	entries        []Entry
	stable         uint64 // last index known to be synced
	commit         uint64
	applied        uint64
}

func newEntryLog(meta SnapshotMeta, entries []Entry) entryLog {
	l := entryLog{}
	l.restore(meta)
	l.append(entries...)
	l.stable = l.lastIndex()
	return l
}

// restore replaces the log by a snapshot.
func (l *entryLog) restore(meta SnapshotMeta) {
	l.base = Position{Index: meta.Index, Term: meta.Term}
	l.baseLastByKind = newKindIndexes(meta.LastByKind)
	l.lastByKind = l.baseLastByKind
	l.entries = nil
	l.stable = meta.Index
	l.commit = meta.Index
	l.applied = meta.Index
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.base.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index; ok is false if the entry is
// compacted or beyond the end of the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// entriesAfter returns all entries after index, which must not be before base.
func (l *entryLog) entriesAfter(index uint64) []Entry {
	if index >= l.lastIndex() {
		return nil
	}
	return l.entries[index-l.base.Index:]
}

// entriesBetween returns the entries with lo < index <= hi.
func (l *entryLog) entriesBetween(lo, hi uint64) []Entry {
	return l.entriesAfter(lo)[:hi-lo]
}

// batch returns the entries after index up to limit bytes, but at least one if
// there is any.
func (l *entryLog) batch(index uint64, limit int) []Entry {
	entries := l.entriesAfter(index)
	size := 0
	for i, e := range entries {
		size += e.size()
		if i > 0 && size > limit {
			return entries[:i]
		}
	}
	return entries
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.lastByKind.add(entries)
}

// appendAfter adds the entries that the log does not hold yet and returns the
// index of the first one added, or 0. The entry before them must match. Existing
// entries are truncated only from a conflict on: an out-of-order message must not
// drop entries that a newer one has added.
func (l *entryLog) appendAfter(entries []Entry) (first uint64, err error) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.commit {
			return 0, ErrCommittedConflict
		}
		l.truncate(e.Index)
		l.append(entries[i:]...)
		return e.Index, nil
	}
	return 0, nil
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.entries = slices.Clone(l.entries[:index-l.base.Index-1])
	l.stable = min(l.stable, index-1)
	l.lastByKind = l.baseLastByKind
	l.lastByKind.add(l.entries)
}

// compact removes the entries up to index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	term, _ := l.term(index)
	dropped := index - l.base.Index
	l.baseLastByKind.add(l.entries[:dropped])
	l.entries = slices.Clone(l.entries[dropped:])
	l.base = Position{Index: index, Term: term}
}

// retainAfter returns the lowest index such that the entries after it, up to
// index, number at most maxEntries and take at most maxBytes.
func (l *entryLog) retainAfter(index, maxEntries uint64, maxBytes int) uint64 {
	at := index
	for at > l.base.Index && index-at < maxEntries {
		maxBytes -= l.entries[at-l.base.Index-1].size()
		if maxBytes < 0 {
			break
		}
		at--
	}
	return at
}

// lastByKindAt returns the highest index of each kind among the entries up to
// index.
func (l *entryLog) lastByKindAt(index uint64) kindIndexes {
	k := l.baseLastByKind
	k.add(l.entriesBetween(l.base.Index, index))
	return k
}

// isUpToDate reports whether a log that ends in (index, term) is at least as up to
// date as this one, in the sense of the Raft paper, section 5.4.1.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// findConflictByTerm returns the last position at or before index whose term is at
// most term. If there is none in memory, it returns a position before base with
// term 0. Returning base instead would make a leader probe forever at base with a
// replica whose log conflicts there, and never send it the snapshot.
func (l *entryLog) findConflictByTerm(index, term uint64) Position {
	index = min(index, l.lastIndex())
	for ; index > l.base.Index; index-- {
		if t, _ := l.term(index); t <= term {
			return Position{Index: index, Term: t}
		}
	}
	if index == l.base.Index && l.base.Term <= term {
		return l.base
	}
	return Position{Index: min(index, max(l.base.Index, 1)-1)}
}
