package route

import (
	"math/bits"
	"slices"

	"savoryreel.example/savoryreel/instance"
)

// Limits of a PrefixIndex.
const (
	// maxServerPrefixes bounds the prefixes indexed per server; the newest are retained. A
	// prefix on one server takes about 180 bytes. A missing one costs one prefill.
	maxServerPrefixes = 1024
	// maxBufferedEvents bounds the events buffered for replay until a listing arrives.
	maxBufferedEvents = 256
)

// ApplyResult is the result of PrefixIndex.Apply.
type ApplyResult uint8

// The results of Apply.
const (
	Applied   ApplyResult = iota // the event was the next in order
	Duplicate                    // already applied, or of an earlier incarnation
	Gap                          // events are missing: fetch the full listing and call Replace
)

// String returns the result in lower case, for logs.
func (r ApplyResult) String() string {
	switch r {
	case Applied:
		return "applied"
	case Duplicate:
		return "duplicate"
	case Gap:
		return "gap"
	default:
		return "unknown"
	}
}

// Listing is the content of one server's prefix cache after the event with number
// Sequence. The order of Prefixes has no meaning.
type Listing struct {
	Incarnation uint64
	Sequence    uint64
	Prefixes    []CachedPrefix
}

// CachedPrefix is a cached prefix: its hash (see native.PrefixHashes) and its length.
type CachedPrefix struct {
	Prefix uint64
	Tokens int
}

// PrefixIndex maps prompt prefixes to the servers that cache them, built from the servers'
// cache events. Events may arrive late or be lost. A lost eviction would send a conversation
// to a server that no longer caches it, for as long as that server runs, so a gap is reported
// until a listing has closed it. Meanwhile the index remains in use, since a wrong entry only
// costs one prefill. It is not safe for concurrent use.
type PrefixIndex struct {
	slotByID       map[string]int
	servers        []indexedServer // by slot; each server has one
	freeSlots      []int           // slots of removed servers, for reuse
	prefixes       map[uint64]*prefixEntry
	matchedHolders []uint64 // scratch space of match: one bit per slot
}

type prefixEntry struct {
	tokens      int32
	holderCount int
	holders     []uint64 // servers that cache the prefix, one bit per slot
}

type indexedServer struct {
	incarnation uint64
	sequence    uint64 // highest event applied
	hasGap      bool
	pinned      bool // a Router uses the slot
	prefixes    map[uint64]struct{}
	storeOrder  []uint64              // prefixes, oldest first, including some evicted ones
	buffered    []instance.CacheEvent // events since the gap, in order, for replay after a listing
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{
		slotByID: make(map[string]int),
		prefixes: make(map[uint64]*prefixEntry),
	}
}

// Apply applies one cache event of the server's given incarnation. It returns Gap for every
// event until a listing has closed the gap, so that the caller can request a lost listing
// again. The caller should have one request for a listing in flight at a time.
func (x *PrefixIndex) Apply(server string, incarnation uint64, event instance.CacheEvent) ApplyResult {
	slot := x.slotFor(server)
	s := &x.servers[slot]
	if incarnation < s.incarnation {
		return Duplicate
	}
	if incarnation > s.incarnation {
		x.reset(slot, incarnation)
	}
	if event.Sequence <= s.sequence {
		return Duplicate
	}
	if event.Sequence != s.sequence+1 {
		// Buffered events cannot be replayed over a hole.
		s.hasGap = true
		s.buffered = s.buffered[:0]
	}
	s.sequence = event.Sequence
	if s.hasGap {
		s.buffer(event)
	}
	x.applyEvent(slot, event)
	if s.hasGap {
		return Gap
	}
	return Applied
}

// Replace replaces the server's prefixes by a full listing and reapplies the buffered events
// that are newer. It reports whether the index is now complete for the server; if not, the
// listing was too old and the caller needs another one.
func (x *PrefixIndex) Replace(server string, listing Listing) bool {
	slot := x.slotFor(server)
	s := &x.servers[slot]
	if listing.Incarnation < s.incarnation {
		return !s.hasGap
	}
	if listing.Incarnation == s.incarnation && !s.hasGap && listing.Sequence < s.sequence {
		return true // an old listing must not undo newer events
	}
	sequence, buffered := s.sequence, s.buffered
	if listing.Incarnation > s.incarnation {
		sequence, buffered = 0, nil
	}
	x.reset(slot, listing.Incarnation)
	s.sequence = max(sequence, listing.Sequence)
	for _, p := range listing.Prefixes {
		x.store(slot, p.Prefix, p.Tokens)
	}
	s.hasGap = !replayable(buffered, listing.Sequence, sequence)
	for _, event := range buffered {
		if event.Sequence > listing.Sequence {
			x.applyEvent(slot, event)
		}
	}
	if s.hasGap {
		s.buffered = buffered
	}
	return !s.hasGap
}

// Remove drops all prefixes of the server.
func (x *PrefixIndex) Remove(server string) {
	slot, ok := x.slotByID[server]
	if !ok {
		return
	}
	x.reset(slot, 0)
	if x.servers[slot].pinned {
		return
	}
	x.servers[slot] = indexedServer{}
	x.freeSlots = append(x.freeSlots, slot)
	delete(x.slotByID, server)
}

// Complete reports whether the server is known and no event of it is missing.
func (x *PrefixIndex) Complete(server string) bool {
	slot, ok := x.slotByID[server]
	return ok && !x.servers[slot].hasGap
}

// Len returns the number of distinct prefixes in the index.
func (x *PrefixIndex) Len() int { return len(x.prefixes) }

// buffer adds an event for replay. When the buffer is full it drops the oldest half; a
// listing older than the remaining events then does not close the gap.
func (s *indexedServer) buffer(event instance.CacheEvent) {
	if len(s.buffered) == maxBufferedEvents {
		n := copy(s.buffered, s.buffered[maxBufferedEvents/2:])
		s.buffered = s.buffered[:n]
	}
	s.buffered = append(s.buffered, event)
}

// replayable reports whether the buffered events continue from sequence listed to sequence
// last without a hole.
func replayable(buffered []instance.CacheEvent, listed, last uint64) bool {
	if listed >= last {
		return true
	}
	return len(buffered) > 0 && buffered[0].Sequence <= listed+1
}

// slotFor returns the slot of the server, assigning one if it has none.
func (x *PrefixIndex) slotFor(server string) int {
	if slot, ok := x.slotByID[server]; ok {
		return slot
	}
	var slot int
	if n := len(x.freeSlots); n > 0 {
		slot = x.freeSlots[n-1]
		x.freeSlots = x.freeSlots[:n-1]
	} else {
		slot = len(x.servers)
		x.servers = append(x.servers, indexedServer{})
	}
	if words := slot/64 + 1; words > len(x.matchedHolders) {
		x.matchedHolders = append(x.matchedHolders, 0)
	}
	x.slotByID[server] = slot
	return slot
}

// reset removes the prefixes in the slot and sets its incarnation.
func (x *PrefixIndex) reset(slot int, incarnation uint64) {
	s := &x.servers[slot]
	for prefix := range s.prefixes {
		x.removeHolder(slot, prefix)
	}
	*s = indexedServer{incarnation: incarnation, pinned: s.pinned}
}

func (x *PrefixIndex) applyEvent(slot int, event instance.CacheEvent) {
	if event.Stored {
		x.store(slot, event.Prefix, event.Tokens)
		return
	}
	if _, ok := x.servers[slot].prefixes[event.Prefix]; ok {
		delete(x.servers[slot].prefixes, event.Prefix)
		x.removeHolder(slot, event.Prefix)
	}
}

func (x *PrefixIndex) store(slot int, prefix uint64, tokens int) {
	s := &x.servers[slot]
	if _, ok := s.prefixes[prefix]; ok {
		return
	}
	for len(s.prefixes) >= maxServerPrefixes {
		x.dropOldest(slot)
	}
	s.appendStored(prefix)
	if s.prefixes == nil {
		s.prefixes = make(map[uint64]struct{})
	}
	s.prefixes[prefix] = struct{}{}
	entry := x.prefixes[prefix]
	if entry == nil {
		entry = &prefixEntry{}
		x.prefixes[prefix] = entry
	}
	for len(entry.holders) <= slot/64 {
		entry.holders = append(entry.holders, 0)
	}
	entry.holders[slot/64] |= 1 << (slot % 64)
	entry.tokens = int32(tokens)
	entry.holderCount++
}

// dropOldest drops the prefix that was stored first. Rejecting new prefixes instead would
// leave conversations that start after the limit is reached without a cache hit.
func (x *PrefixIndex) dropOldest(slot int) {
	s := &x.servers[slot]
	oldest := s.storeOrder[0]
	s.storeOrder = s.storeOrder[1:]
	if _, ok := s.prefixes[oldest]; ok {
		delete(s.prefixes, oldest)
		x.removeHolder(slot, oldest)
	}
}

// appendStored appends the prefix to storeOrder. Evicted prefixes remain there until it has
// twice maxServerPrefixes elements.
func (s *indexedServer) appendStored(prefix uint64) {
	if len(s.storeOrder) >= 2*maxServerPrefixes {
		evicted := func(p uint64) bool {
			_, ok := s.prefixes[p]
			return !ok
		}
		s.storeOrder = slices.Clone(slices.DeleteFunc(s.storeOrder, evicted))
	}
	s.storeOrder = append(s.storeOrder, prefix)
}

func (x *PrefixIndex) removeHolder(slot int, prefix uint64) {
	entry := x.prefixes[prefix]
	entry.holders[slot/64] &^= 1 << (slot % 64)
	entry.holderCount--
	if entry.holderCount == 0 {
		delete(x.prefixes, prefix)
	}
}

// match sets tokens[slot] to the length of the longest of the prefixes that the server
// caches, or 0. prefixes are ordered from short to long.
func (x *PrefixIndex) match(prefixes []uint64, tokens []int32) {
	clear(tokens)
	clear(x.matchedHolders)
	for i := len(prefixes) - 1; i >= 0; i-- {
		entry := x.prefixes[prefixes[i]]
		if entry == nil {
			continue
		}
		for w, holders := range entry.holders {
			fresh := holders &^ x.matchedHolders[w]
			x.matchedHolders[w] |= holders
			for ; fresh != 0; fresh &= fresh - 1 {
				slot := w*64 + bits.TrailingZeros64(fresh)
				if slot < len(tokens) {
					tokens[slot] = entry.tokens
				}
			}
		}
	}
}
