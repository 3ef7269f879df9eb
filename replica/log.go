package replica

import "slices"

// kindIndexes holds the highest index of each kind of entry.
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

// entryLog is the part of the log in memory: all entries after base.
//
// Slices of entries are handed out to messages, so elements are never
// overwritten: truncation and compaction copy.
type entryLog struct {
	base           Position
	baseLastByKind kindIndexes // as of base
	lastByKind     kindIndexes // as of the last entry
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

// term returns the term of the entry at index; ok is false if it was compacted
// away or isn't there yet.
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

// entriesAfter returns the entries entriesAfter index, all of them.
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

// batch returns entries after index of at most limit bytes, and at least one if
// there is one.
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

// appendAfter takes over the entries that follow a matching one and reports the
// index of the first entry that is new, or 0. An entry already held is left
// alone: truncating after it would drop entries that a newer message brought.
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

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.entries = slices.Clone(l.entries[:index-l.base.Index-1])
	l.stable = min(l.stable, index-1)
	l.lastByKind = l.baseLastByKind
	l.lastByKind.add(l.entries)
}

// compact drops the entries up to index from memory.
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

// retainAfter returns the position after which at most so many entries and bytes
// lie up to index.
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

// lastByKindAt returns the highest index of each kind among entries up to index.
func (l *entryLog) lastByKindAt(index uint64) kindIndexes {
	k := l.baseLastByKind
	k.add(l.entriesBetween(l.base.Index, index))
	return k
}

// isUpToDate reports whether a log that ends in (index, term) holds everything
// that this one may have committed.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// findConflictByTerm returns the last position at or before index whose term is not
// above term. If there is none in memory, it returns a position before the base,
// of no term: a leader that offered the base again and again to a replica whose
// log differs there would never get to send it the snapshot.
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
