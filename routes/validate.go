package routes

import (
	"strings"

	"github.com/gravitational/trace"
)

// Validate returns an error for the first inconsistency in the catalogue, or nil.
func (c *Catalogue) Validate() error {
	services, err := c.checkServices()
	if err != nil {
		return err
	}
	if err := c.checkRoutes(services); err != nil {
		return err
	}
	return c.checkKeys()
}

func (c *Catalogue) checkServices() (map[string]bool, error) {
	seen := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			return nil, trace.BadParameter("service %d has no name", i)
		}
		if seen[s.Name] {
			return nil, trace.BadParameter("service %s is named twice", s.Name)
		}
		seen[s.Name] = true
	}
	return seen, nil
}

// routeKey identifies a route; no two routes may share one.
type routeKey struct{ host, prefix string }

func (c *Catalogue) checkRoutes(services map[string]bool) error {
	nameByKey := make(map[routeKey]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := routeKey{r.Host, r.Prefix}
		if other, used := nameByKey[key]; used {
			return trace.BadParameter("routes %s and %s share host %s and prefix %s", other, r.Name, r.Host, r.Prefix)
		}
		nameByKey[key] = r.Name
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return trace.BadParameter("route %s has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("route %s: prefix %q doesn't begin and end with a slash", r.Name, r.Prefix)
	case r.Kind < Idempotent || r.Kind > Stream:
		return trace.BadParameter("route %s has no known kind", r.Name)
	case r.Timeout <= 0:
		return trace.BadParameter("route %s has no timeout", r.Name)
	}
	return r.checkSplit(services)
}

func (r *Route) checkSplit(services map[string]bool) error {
	totalWeight := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return trace.BadParameter("route %s names unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return trace.BadParameter("route %s: weight of service %s is negative", r.Name, s.Service)
		}
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		return trace.BadParameter("route %s: weights add up to nothing", r.Name)
	}
	return nil
}

// checkKeys refuses a key that two workspaces share, since it does not identify
// the customer.
func (c *Catalogue) checkKeys() error {
	workspaceByKey := make(map[string]string)
	seen := make(map[string]bool, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if w.Name == "" {
			return trace.BadParameter("workspace %d has no name", i)
		}
		if seen[w.Name] {
			return trace.BadParameter("workspace %s is named twice", w.Name)
		}
		seen[w.Name] = true
		for _, key := range w.Keys {
			if other, used := workspaceByKey[key]; used && other != w.Name {
				return trace.BadParameter("workspaces %s and %s share a key", other, w.Name)
			}
			workspaceByKey[key] = w.Name
		}
	}
	return nil
}
