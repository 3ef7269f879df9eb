package origin

import (
	"slices"
	"time"
)

// ServiceVersion is a software version of a service's servers.
type ServiceVersion struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
}

// VersionTTL is how long after a server of it was last known a version may have begun streams that can still
// be taken up: entries learn a little later than others that a server is gone.
const VersionTTL = Retention + 10*time.Second

// Versions holds the versions whose servers a process has known of late.
type Versions struct {
	seen map[ServiceVersion]time.Time // when a server of it was last known
}

// NewVersions returns Versions without content.
func NewVersions() *Versions { return &Versions{seen: make(map[ServiceVersion]time.Time)} }

// See records that a server of a version is known. It reports whether the version was not held before.
func (v *Versions) See(sv ServiceVersion, now time.Time) (added bool) {
	_, known := v.seen[sv]
	v.seen[sv] = now
	return !known
}

// Of returns the versions of a service, sorted.
func (v *Versions) Of(service string, now time.Time) (list []string) {
	for sv, at := range v.seen {
		if sv.Service == service && now.Sub(at) <= VersionTTL {
			list = append(list, sv.Version)
		}
	}
	slices.Sort(list)
	return list
}

// Mixed returns the services that have several versions, these and others together, sorted.
func (v *Versions) Mixed(others []ServiceVersion, now time.Time) (list []string) {
	all := make(map[ServiceVersion]bool, len(others)+len(v.seen))
	for _, sv := range others {
		all[sv] = true
	}
	for sv, at := range v.seen {
		if now.Sub(at) <= VersionTTL {
			all[sv] = true
		}
	}
	count := make(map[string]int)
	for sv := range all {
		if count[sv.Service]++; count[sv.Service] == 2 {
			list = append(list, sv.Service)
		}
	}
	slices.Sort(list)
	return list
}

// Expire forgets versions whose streams can no longer be taken up, and returns those of others of which no
// server has been known for as long. These are tracked from the first call on.
func (v *Versions) Expire(others []ServiceVersion, now time.Time) (gone []ServiceVersion) {
	for _, sv := range others {
		at, known := v.seen[sv]
		switch {
		case !known:
			v.seen[sv] = now
		case now.Sub(at) > VersionTTL:
			gone = append(gone, sv)
		}
	}
	for sv, at := range v.seen {
		if now.Sub(at) > VersionTTL && !slices.Contains(others, sv) {
			delete(v.seen, sv)
		}
	}
	return gone
}
