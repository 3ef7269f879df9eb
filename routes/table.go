package routes

import (
	"slices"
	"strings"
)

// Table indexes a catalogue for lookups. It is immutable and safe for concurrent
// use.
type Table struct {
	catalogue       *Catalogue
	routesByHost    map[string][]*Route // longest prefix first
	ranksByService  map[string][]rankObjective
	services        map[string]*Service
	workspacesByKey map[string]*Workspace
}

// NewTable returns the table of a valid catalogue. The catalogue must not be
// changed afterwards.
func NewTable(c *Catalogue) *Table {
	t := &Table{
		catalogue:       c,
		routesByHost:    make(map[string][]*Route),
		ranksByService:  make(map[string][]rankObjective),
		services:        make(map[string]*Service, len(c.Services)),
		workspacesByKey: make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
		t.addRank(r)
	}
	for _, list := range t.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.workspacesByKey[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Catalogue returns the catalogue that the table indexes.
func (t *Table) Catalogue() *Catalogue { return t.catalogue }

// Route returns the route of a host, in the form of CanonicalHost, with the longest
// matching path prefix, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with this name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that owns the key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// Choose returns a service of the route's split, selected by weight. random must be
// uniform in [0, 1).
func (r *Route) Choose(random float64) string {
	totalWeight := 0
	for _, s := range r.Split {
		totalWeight += s.Weight
	}
	remaining := random * float64(totalWeight)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
