package limit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// quietAfter is the age of an entry's last call from which its share is left as it is: it may be
	// lost, and cannot make room. Entries call at least every two seconds.
	quietAfter = 4 * time.Second
	// maxDivisor is the divisor of the smallest share that is granted.
	maxDivisor = 1 << 20
	// roundingError is what a divisor may differ by from a whole number.
	roundingError = 1e-9
)

// planner computes a change of a table. The shares that are reserved always sum to at most 1.
//
// A share stays reserved while its entry is quiet, since it may be partitioned and still admit requests.
// The others divide what is left evenly: each is to shrink to its part, and gets as much of its part as
// the rest have left by then.
type planner struct {
	calls   *Calls
	grants  map[string]Grant // after the change
	changed map[string]bool  // names of those that are set
	sum     float64          // of the shares that are reserved
}

// Plan returns the change of a table that the calls to the replica that leads ask for. revoked are the
// grants that a majority of the voters has promised not to confirm any more.
func Plan(t *Table, c *Calls, revoked []Grant, now time.Time) Change {
	p := &planner{calls: c, grants: make(map[string]Grant, len(t.grants)), changed: make(map[string]bool)}
	maps.Copy(p.grants, t.grants)
	change := Change{Base: t.Index, Remove: p.remove(revoked)}
	live := c.live(now)
	for _, name := range live {
		p.release(name)
	}
	p.sumUp()
	if even := p.evenDivisor(live); even > 0 {
		p.shrink(live, even)
		p.grow(live, even)
	}
	for _, name := range slices.Sorted(maps.Keys(p.changed)) {
		change.Set = append(change.Set, p.grants[name])
	}
	return change
}

// remove removes the grants that are revoked, and returns their entries.
func (p *planner) remove(revoked []Grant) (removed []string) {
	for _, g := range revoked {
		if p.grants[g.Name] == g {
			delete(p.grants, g.Name)
			removed = append(removed, g.Name)
		}
	}
	slices.Sort(removed)
	return removed
}

// live returns the entries that call and go on, sorted.
func (c *Calls) live(now time.Time) (names []string) {
	for name, e := range c.entries {
		if now.Sub(e.heardAt) <= quietAfter && e.endsAt.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// release ends the reservation of the larger share of an entry that holds its grant of a smaller one.
func (p *planner) release(name string) {
	g, report := p.grants[name], p.calls.entries[name].report
	if g.Reserved < g.Divisor && report.Index == g.Index && report.Divisor >= g.Divisor {
		g.Reserved = g.Divisor
		p.set(g)
	}
}

func (p *planner) set(g Grant) {
	p.sum += g.reservedShare() - p.grants[g.Name].reservedShare()
	p.grants[g.Name] = g
	p.changed[g.Name] = true
}

func (p *planner) sumUp() {
	p.sum = 0
	for _, g := range p.grants {
		p.sum += g.reservedShare()
	}
}

// evenDivisor returns the divisor of the share that each of the live entries is to have; 0: there is no room.
func (p *planner) evenDivisor(live []string) int {
	if len(live) == 0 {
		return 0
	}
	withheld := p.sum
	for _, name := range live {
		withheld -= p.grants[name].reservedShare()
	}
	return divisorOf((1 - withheld) / float64(len(live)))
}

// shrink takes from the live entries what they have beyond their part. It stays reserved until they have
// reported that they hold the smaller share.
func (p *planner) shrink(live []string, even int) {
	for _, name := range live {
		if g, granted := p.grants[name]; granted && g.Divisor < even {
			g.Divisor = even
			p.set(g)
		}
	}
}

// grow gives room to the live entries that have less than their part: first to those without a share.
func (p *planner) grow(live []string, even int) {
	for _, withShare := range []bool{false, true} {
		for _, name := range live {
			g, granted := p.grants[name]
			if granted != withShare {
				continue
			}
			fits := divisorOf(1 - (p.sum - g.reservedShare()))
			divisor := max(even, fits)
			if fits == 0 || granted && divisor >= g.Divisor {
				continue
			}
			if !granted {
				g = Grant{Name: name, Reserved: divisor, First: p.calls.entries[name].incarnation}
			}
			g.Divisor, g.Reserved = divisor, min(g.Reserved, divisor)
			p.set(g)
		}
	}
}

// divisorOf returns the divisor of the largest share that fits into room; 0 if there is none.
func divisorOf(room float64) int {
	if room*maxDivisor < 1 {
		return 0
	}
	return int(math.Ceil(1/min(room, 1) - roundingError))
}
