package origin

import (
	"maps"
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

// Versions holds the versions whose servers may have begun streams that can still be taken up.
type Versions struct {
	seen map[ServiceVersion]time.Time // when a server of it was last known
	// completeFrom is from when on Versions holds all that this process was asked to hold for as long as
	// streams can be taken up.
	completeFrom time.Time
}

// NewVersions returns Versions without content. complete says that no version has been forgotten: the
// system starts for the first time. Otherwise what was held before is unknown until it no longer matters.
func NewVersions(complete bool, now time.Time) *Versions {
	v := &Versions{seen: make(map[ServiceVersion]time.Time), completeFrom: now}
	if !complete {
		v.completeFrom = now.Add(Retention)
	}
	return v
}

// Restore adds what was held before a restart; complete says whether nothing was missing then. How long the
// process was down is not known, so that all of it counts as seen now.
func (v *Versions) Restore(list []ServiceVersion, complete bool, now time.Time) {
	for _, sv := range list {
		v.seen[sv] = now
	}
	if complete {
		v.completeFrom = now
	}
}

// See records that a server of a version is known. It reports whether the version was not held before.
func (v *Versions) See(sv ServiceVersion, now time.Time) (added bool) {
	_, known := v.seen[sv]
	v.seen[sv] = now
	return !known
}

// Complete reports whether nothing is missing that was held.
func (v *Versions) Complete(now time.Time) bool { return !now.Before(v.completeFrom) }

// Of returns the versions of a service, sorted.
func (v *Versions) Of(service string, now time.Time) (list []string) {
	for sv, at := range v.seen {
		if sv.Service == service && now.Sub(at) <= Retention {
			list = append(list, sv.Version)
		}
	}
	slices.Sort(list)
	return list
}

// Mixed returns the services with several versions, sorted.
func (v *Versions) Mixed(now time.Time) (list []string) {
	count := make(map[string]int)
	for sv, at := range v.seen {
		if now.Sub(at) <= Retention {
			count[sv.Service]++
		}
	}
	for service, n := range count {
		if n > 1 {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// All returns all that is held, in no order.
func (v *Versions) All() []ServiceVersion { return slices.Collect(maps.Keys(v.seen)) }

// Expire forgets versions whose streams can no longer be taken up. It reports whether there were any.
func (v *Versions) Expire(now time.Time) bool {
	before := len(v.seen)
	maps.DeleteFunc(v.seen, func(_ ServiceVersion, at time.Time) bool { return now.Sub(at) > Retention })
	return len(v.seen) < before
}
