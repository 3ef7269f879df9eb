package suspect

import (
	"maps"
	"slices"
	"time"
)

// listTTL is how long the list of a registry is used that no longer replies.
const listTTL = time.Minute

// View is what one entry knows of requests that crash servers: its own records, and the lists of
// the registries. It is not safe for concurrent use.
type View struct {
	Set *Set

	answered answered
	lists    map[string]registryList // by registry
}

type registryList struct {
	fingerprints []uint64  // sorted
	at           time.Time // of the registry's last reply
}

// NewView returns an empty View.
func NewView() *View {
	return &View{Set: NewSet(), answered: answered{at: make(map[uint64]time.Time)}, lists: make(map[string]registryList)}
}

// RecordBreak records that a request with these properties broke off on a server that is gone since.
func (v *View) RecordBreak(properties []uint64, server Server, now time.Time) {
	for _, p := range properties {
		v.Set.recordBreak(p, server, v.answered.at[p], now)
	}
}

// SetList replaces the list of a registry, which is sorted.
func (v *View) SetList(registry string, fingerprints []uint64, now time.Time) {
	v.lists[registry] = registryList{fingerprints: fingerprints, at: now}
}

// KeepList records that the list of a registry has not changed.
func (v *View) KeepList(registry string, now time.Time) {
	list := v.lists[registry]
	list.at = now
	v.lists[registry] = list
}

// Suspect reports whether the request may be what ends servers.
func (v *View) Suspect(fingerprint uint64) bool {
	if v.Set.Suspect(fingerprint) {
		return true
	}
	for _, list := range v.lists {
		if _, listed := slices.BinarySearch(list.fingerprints, fingerprint); listed {
			return true
		}
	}
	return false
}

// RecordAnswer records that a server has answered a request. It reports whether that changed
// anything, and whether the request was a suspect. An answer to a suspect is recorded also if only
// registries hold it, so that they learn of it.
func (v *View) RecordAnswer(fingerprint uint64, now time.Time) (changed, wasSuspect bool) {
	if isPart(fingerprint) {
		v.answered.record(fingerprint, now)
	}
	wasSuspect = v.Suspect(fingerprint)
	if wasSuspect && v.Set.requests[fingerprint] == nil {
		v.Set.makeRoom(now)
		r := newRequest(fingerprint)
		r.answeredAt = now
		v.Set.requests[fingerprint] = r
		v.Set.markChanged(r)
		return true, true
	}
	return v.Set.RecordAnswer(fingerprint, now), wasSuspect
}

// Empty reports whether no request is held or listed.
func (v *View) Empty() bool {
	if !v.Set.Empty() {
		return false
	}
	for _, list := range v.lists {
		if len(list.fingerprints) > 0 {
			return false
		}
	}
	return true
}

// Expire drops expired records, and the lists of registries that have not replied for long.
func (v *View) Expire(now time.Time) {
	v.Set.Expire(now)
	v.answered.expire(now)
	maps.DeleteFunc(v.lists, func(_ string, l registryList) bool { return now.Sub(l.at) > listTTL })
}
