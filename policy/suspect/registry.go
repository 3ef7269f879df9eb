package suspect

import "slices"

// Registry lists the suspects at a process that many report to. It is not safe for concurrent use.
//
// A request that Trials holds and that was not answered since is a suspect too: the bound on its sends
// outlasts the records, which are lost when all processes restart.
type Registry struct {
	Set *Set

	trials  []uint64 // requests that Trials holds
	list    []uint64 // all suspects, sorted
	version uint64   // number of changes of list
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{Set: NewSet()} }

// SetTrials replaces the requests that Trials holds, and reports whether the list has changed.
func (r *Registry) SetTrials(fingerprints []uint64) (changed bool) {
	r.trials = fingerprints
	return r.Update()
}

// Update derives the list after a change of Set, and reports whether it has changed.
func (r *Registry) Update() (changed bool) {
	list := r.Set.Suspects()
	for _, fingerprint := range r.trials {
		if !r.Set.Answered(fingerprint) {
			list = append(list, fingerprint)
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if slices.Equal(list, r.list) {
		return false
	}
	r.list = list
	r.version++
	return true
}

// List returns the fingerprints of all suspects, sorted, which must not be changed, and the number
// of this list.
func (r *Registry) List() (list []uint64, version uint64) { return r.list, r.version }
