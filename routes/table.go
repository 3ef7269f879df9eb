package routes

import (
	"slices"
	"strings"
)

// Table is a catalogue made ready for look-ups. It is immutable and safe for
// concurrent use.
type Table struct {
	catalogue  *Catalogue
	byHost     map[string][]*Route // longest prefix first
	services   map[string]*Service
	workspaces map[string]*Workspace // by key
}

// NewTable returns the table of a valid catalogue, which must not be changed
// afterwards.
func NewTable(c *Catalogue) *Table {
	t := &Table{
		catalogue:  c,
		byHost:     make(map[string][]*Route),
		services:   make(map[string]*Service, len(c.Services)),
		workspaces: make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.workspaces[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Catalogue returns the catalogue behind the table.
func (t *Table) Catalogue() *Catalogue { return t.catalogue }

// Route returns the route of a host (as CanonicalHost gives it) with the longest
// prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Choose picks a service of the route's split by weight; random is uniform in
// [0, 1).
func (r *Route) Choose(random float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := random * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
