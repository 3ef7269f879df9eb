package instance

import (
	"maps"
	"slices"
	"sync/atomic"
)

// shardCopies holds the shards of one table that a batch has copied. A reader
// keeps the old snapshot until commit and never sees half a change of a shard.
type shardCopies[V any] struct {
	shards *[viewShards]atomic.Pointer[map[string]V]
	copies [viewShards]map[string]V
}

// of returns this batch's copy of the shard that holds key.
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

// listCopies is shardCopies for a table of lists: a list is copied once in a
// batch, before its first change.
type listCopies[T any] struct {
	shards      shardCopies[[]*T]
	copiedLists map[string]bool
}

func newListCopies[T any](from *[viewShards]atomic.Pointer[map[string][]*T]) listCopies[T] {
	return listCopies[T]{shards: shardCopies[[]*T]{shards: from}, copiedLists: make(map[string]bool)}
}

// edit hands fn this batch's own copy of the list under name and keeps what it
// returns.
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
