package fake

import (
	"container/list"
	"sync"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
)

// cache is an engine's LRU prefix cache, keyed by prefix hash and bounded in
// tokens. A prefix can be used only if all its shorter prefixes are cached, so
// the longest prefix of a prompt is evicted first.
type cache struct {
	mu         sync.Mutex
	capacity   int // tokens; 0: the engine has no cache
	usedTokens int
	entries    map[uint64]*list.Element
	lru        *list.List // of native.CacheEntry, most recent in front
	sequence   uint64
	pending    []instance.CacheEvent
}

// prompt holds the prefix hashes and token counts of a chat's messages.
type prompt struct {
	hashes      []uint64
	tokens      []int // per message
	totalTokens int
}

func newPrompt(messages []native.Message) prompt {
	p := prompt{hashes: native.PrefixHashes(messages), tokens: make([]int, len(messages))}
	for i, m := range messages {
		p.tokens[i] = messageTokens(m)
		p.totalTokens += p.tokens[i]
	}
	return p
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		entries:  make(map[uint64]*list.Element),
		lru:      list.New(),
	}
}

// lookupAndStore returns the number of tokens of p that were cached, then stores
// all of p.
func (c *cache) lookupAndStore(p prompt) int {
	if c.capacity == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.cachedTokens(p)
	for i := len(p.hashes) - 1; i >= 0; i-- {
		c.touch(p.hashes[i], p.tokens[i])
	}
	c.evict()
	return cached
}

func (c *cache) cachedTokens(p prompt) int {
	tokens := 0
	for i, h := range p.hashes {
		if c.entries[h] == nil {
			break
		}
		tokens += p.tokens[i]
	}
	return tokens
}

func (c *cache) touch(hash uint64, tokens int) {
	if element := c.entries[hash]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	c.entries[hash] = c.lru.PushFront(native.CacheEntry{Prefix: hash, Tokens: tokens})
	c.usedTokens += tokens
	c.recordEvent(hash, tokens, true)
}

func (c *cache) evict() {
	for c.usedTokens > c.capacity {
		element := c.lru.Back()
		entry, _ := c.lru.Remove(element).(native.CacheEntry)
		delete(c.entries, entry.Prefix)
		c.usedTokens -= entry.Tokens
		c.recordEvent(entry.Prefix, entry.Tokens, false)
	}
}

func (c *cache) recordEvent(hash uint64, tokens int, stored bool) {
	c.sequence++
	c.pending = append(c.pending, instance.CacheEvent{
		Sequence: c.sequence,
		Prefix:   hash,
		Stored:   stored,
		Tokens:   tokens,
	})
}

// drain returns and clears the events recorded since the last drain.
func (c *cache) drain() []instance.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.pending
	c.pending = nil
	return events
}

func (c *cache) usedFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.capacity == 0 {
		return 0
	}
	return float64(c.usedTokens) / float64(c.capacity)
}

func (c *cache) listing(incarnation uint64) native.CacheListing {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := make([]native.CacheEntry, 0, c.lru.Len())
	for element := c.lru.Front(); element != nil; element = element.Next() {
		entry, _ := element.Value.(native.CacheEntry)
		entries = append(entries, entry)
	}
	return native.CacheListing{Incarnation: incarnation, Sequence: c.sequence, Entries: entries}
}
