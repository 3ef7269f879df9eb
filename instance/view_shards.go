package instance

import (
	"maps"
	"slices"
	"sync/atomic"
)

// shardCopies holds a batch's copies of the shards of one table. Readers use the old
// shards until commit, so they never see a partly changed shard.
type shardCopies[V any] struct {
	shards *[viewShards]atomic.Pointer[map[string]V]
	copies [viewShards]map[string]V
}

// copyFor returns the batch's copy of the shard that holds key.
func (c *shardCopies[V]) copyFor(key string) map[string]V {
	i := shardOf(key)
	if c.copies[i] == nil {
		c.copies[i] = maps.Clone(loadMap(&c.shards[i]))
	}
	if c.copies[i] == nil {
		c.copies[i] = make(map[string]V)
	}
	return c.copies[i]
}

func (c *shardCopies[V]) commit() {
	for i, m := range c.copies {
		if m != nil {
			c.shards[i].Store(&m)
		}
	}
}

// listCopies is shardCopies for a table of lists. A list is copied before its first
// change in a batch.
type listCopies[T any] struct {
	shards      shardCopies[[]*T]
	copiedLists map[string]bool
}

func newListCopies[T any](from *[viewShards]atomic.Pointer[map[string][]*T]) listCopies[T] {
	return listCopies[T]{shards: shardCopies[[]*T]{shards: from}, copiedLists: make(map[string]bool)}
}

// edit calls fn with the batch's copy of the list under name and stores the result. It
// removes the list if the result is empty.
func (c *listCopies[T]) edit(name string, fn func([]*T) []*T) {
	table := c.shards.copyFor(name)
	list := table[name]
	if !c.copiedLists[name] {
		c.copiedLists[name] = true
		list = slices.Clone(list)
	}
	list = fn(list)
	if len(list) == 0 {
		delete(table, name)
		return
	}
	table[name] = list
}
