package coordinator

import (
	"sync"

	"savoryreel.example/savoryreel/coordinator/api"
)

// useBook sums what the entries have let in of each workspace's limit, since this
// replica began. It never falls: what an entry let in before it died was used.
type useBook struct {
	mu    sync.Mutex
	lives map[entryLife]*lifeUse
	total map[string]float64 // by workspace
}

// lifeUse is the use of one life of an entry.
type lifeUse struct {
	told  map[string]float64 // as last told, since the entry's start
	added map[string]float64 // of that, what is in the total
}

func newUseBook() *useBook {
	return &useBook{lives: make(map[entryLife]*lifeUse), total: make(map[string]float64)}
}

// note takes an entry's counts since its start. The first word of a life only sets
// where counting begins: to a replica that has just started it brings all that an
// entry has let in since its own start, which was drawn from the limits long ago.
func (b *useBook) note(life entryLife, uses []api.Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, known := b.lives[life]
	if !known {
		u = &lifeUse{told: make(map[string]float64), added: make(map[string]float64)}
		b.lives[life] = u
		b.forgetEarlier(life)
	}
	for _, x := range uses {
		fresh := x.Amount - u.told[x.Workspace]
		if fresh <= 0 {
			continue // overtaken by a later call, or given back
		}
		u.told[x.Workspace] = x.Amount
		if known {
			u.added[x.Workspace] += fresh
			b.total[x.Workspace] += fresh
		}
	}
}

// forgetEarlier drops the counts of earlier lives of an entry; their sum stays in
// the total.
func (b *useBook) forgetEarlier(life entryLife) {
	for other := range b.lives {
		if other.name == life.name && other.incarnation < life.incarnation {
			delete(b.lives, other)
		}
	}
}

// others returns what has been let in elsewhere than in this life of an entry.
func (b *useBook) others(life entryLife) []api.Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.lives[life]
	out := make([]api.Use, 0, len(b.total))
	for workspace, n := range b.total {
		if own != nil {
			n -= own.added[workspace]
		}
		out = append(out, api.Use{Workspace: workspace, Amount: n})
	}
	return out
}
