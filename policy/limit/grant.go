package limit

import (
	"maps"
	"slices"
)

// Grant is an entry's share of every limit, as the replicated log of the control replicas holds it.
type Grant struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Name    string `msgpack:"name"` // of the entry
	Divisor int    `msgpack:"d"`    // the entry may use 1/Divisor of each limit
	// Reserved is the divisor of the largest share that may still be in use: one of an earlier grant,
	// until the entry has reported that it holds this one. At most Divisor.
	Reserved int    `msgpack:"r"`
	Index    uint64 `msgpack:"index"` // of the log entry that set it
	// First is the incarnation of the entry that was granted its first share, which no earlier one can
	// have lent.
	First uint64 `msgpack:"first"`
}

// reservedShare returns the share that no other entry may use, as a fraction; 0 if there is no grant.
func (g Grant) reservedShare() float64 {
	if g.Reserved == 0 {
		return 0
	}
	return 1 / float64(g.Reserved)
}

// Change is a change of the grants. It is based on a table, and void if that is no longer the latest one:
// the sum of all grants is known to be at most 1 only together with the others.
type Change struct {
	Base   uint64   `msgpack:"base"` // Table.Index
	Set    []Grant  `msgpack:"set,omitempty"`
	Remove []string `msgpack:"rm,omitempty"` // names of entries
}

// IsEmpty reports whether nothing changes.
func (c *Change) IsEmpty() bool { return len(c.Set) == 0 && len(c.Remove) == 0 }

// Table holds all grants after an entry of the log. It does not change.
type Table struct {
	Index  uint64 // of the log entry with the last change; 0: there was none
	grants map[string]Grant
}

// NewTable returns a table with the content of a snapshot.
func NewTable(index uint64, grants []Grant) *Table {
	t := &Table{Index: index, grants: make(map[string]Grant, len(grants))}
	for _, g := range grants {
		t.grants[g.Name] = g
	}
	return t
}

// Apply returns the table after a change at an index of the log, and whether the change is not void.
func (t *Table) Apply(c *Change, index uint64) (next *Table, ok bool) {
	if c.Base != t.Index {
		return t, false
	}
	next = &Table{Index: index, grants: maps.Clone(t.grants)}
	for _, name := range c.Remove {
		delete(next.grants, name)
	}
	for _, g := range c.Set {
		g.Index = index
		next.grants[g.Name] = g
	}
	return next, true
}

// Get returns the grant of an entry; the zero Grant if it has none.
func (t *Table) Get(name string) Grant { return t.grants[name] }

// All returns all grants, sorted by name.
func (t *Table) All() []Grant {
	list := make([]Grant, 0, len(t.grants))
	for _, name := range slices.Sorted(maps.Keys(t.grants)) {
		list = append(list, t.grants[name])
	}
	return list
}
