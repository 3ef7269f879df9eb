package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Server is one incarnation of a backend server.
type Server struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"inc"`
}

func compareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// State is the state of a run. It only increases.
type State uint8

// The states, in order.
const (
	StateTrial   State = iota // granted, no end reported
	StateEnded                // ended without an answer and without a crash
	StateCrashed              // the server crashed
	StateCleared              // finished; or crashed, and a later run finished
)

// String returns the state in lower case, for logs.
func (s State) String() string {
	switch s {
	case StateTrial:
		return "trial"
	case StateEnded:
		return "ended"
	case StateCrashed:
		return "crashed"
	case StateCleared:
		return "cleared"
	default:
		return "unknown"
	}
}

// Exposure is one run of a fingerprint on a server.
type Exposure struct {
	Server Server    `msgpack:"srv"`
	Grant  uint64    `msgpack:"grant"` // number assigned by the owner; 0: run without a grant
	State  State     `msgpack:"state"`
	At     time.Time `msgpack:"at"` // time of the change to this state
}

// Record holds the runs of one fingerprint. Merging is commutative, associative and
// idempotent: the union of the exposures, each with its highest state and latest time.
type Record struct {
	Fingerprint uint64     `msgpack:"fp"`
	Exposures   []Exposure `msgpack:"exp"`    // sorted by server and grant
	EverCrashed bool       `msgpack:"struck"` // a server crashed during a run, even if cleared later
	// Part marks the record of a part of prompts, which a Set does not hold.
	Part bool `msgpack:"part,omitempty"`

	changed uint64 // Set.version at the last change
}

// Suspect reports whether a server crashed during a run of the fingerprint, within
// Config.Keep, and no later run has finished.
func (r *Record) Suspect(cfg *Config, now time.Time) bool {
	return len(r.crashed(cfg, now)) > 0
}

func (r *Record) find(server Server, grant uint64) (int, bool) {
	return slices.BinarySearchFunc(r.Exposures, Exposure{Server: server, Grant: grant}, compareExposures)
}

func compareExposures(a, b Exposure) int {
	return cmp.Or(compareServers(a.Server, b.Server), cmp.Compare(a.Grant, b.Grant))
}

// mergeExposure merges one exposure and reports whether it changed the record.
func (r *Record) mergeExposure(e Exposure) bool {
	r.EverCrashed = r.EverCrashed || e.State == StateCrashed
	i, ok := r.find(e.Server, e.Grant)
	if !ok {
		r.Exposures = slices.Insert(r.Exposures, i, e)
		return true
	}
	existing := &r.Exposures[i]
	if e.State < existing.State || e.State == existing.State && !e.At.After(existing.At) {
		return false
	}
	*existing = e
	return true
}

// crashed returns the distinct servers whose crash is not cleared and not expired.
func (r *Record) crashed(cfg *Config, now time.Time) []Server {
	return r.serversInState(StateCrashed, cfg.Keep, now)
}

// running returns the distinct servers with an open run, except those that have crashed
// during another run.
func (r *Record) running(cfg *Config, now time.Time) []Server {
	open := r.serversInState(StateTrial, cfg.TrialKeep, now)
	return slices.DeleteFunc(open, func(s Server) bool {
		return slices.ContainsFunc(r.Exposures, func(e Exposure) bool {
			return e.Server == s && e.State == StateCrashed
		})
	})
}

func (r *Record) serversInState(state State, maxAge time.Duration, now time.Time) []Server {
	var found []Server
	for _, e := range r.Exposures {
		if e.State == state && now.Before(e.At.Add(maxAge)) && !slices.Contains(found, e.Server) {
			found = append(found, e.Server)
		}
	}
	return found
}

// lastCrash returns the time of the latest crash that is not cleared, or the zero time.
func (r *Record) lastCrash() time.Time {
	var last time.Time
	for _, e := range r.Exposures {
		if e.State == StateCrashed && e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// knownGood reports whether a run has finished within Config.Keep and no crash is uncleared.
func (r *Record) knownGood(cfg *Config, now time.Time) bool {
	return !r.Suspect(cfg, now) && len(r.serversInState(StateCleared, cfg.Keep, now)) > 0
}

// quarantinedUntil returns when fewer than crashesToQuarantine unexpired crashes remain.
func (r *Record) quarantinedUntil(cfg *Config, now time.Time) time.Time {
	latest := make(map[Server]time.Time)
	for _, e := range r.Exposures {
		if e.State == StateCrashed && e.At.After(latest[e.Server]) {
			latest[e.Server] = e.At
		}
	}
	var times []time.Time
	for _, at := range latest {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	if len(times) < crashesToQuarantine {
		return now
	}
	return times[len(times)-crashesToQuarantine].Add(cfg.Keep)
}

// expire deletes expired exposures and reports whether any remain.
func (r *Record) expire(cfg *Config, now time.Time) bool {
	r.Exposures = slices.DeleteFunc(r.Exposures, func(e Exposure) bool {
		return !now.Before(e.At.Add(cfg.Keep))
	})
	return len(r.Exposures) > 0
}

// Prune deletes expired runs.
func (r *Record) Prune(cfg *Config, now time.Time) { r.expire(cfg, now) }

// Expired reports whether every run is older than Config.Keep.
func (r *Record) Expired(cfg *Config, now time.Time) bool {
	return !slices.ContainsFunc(r.Exposures, func(e Exposure) bool { return now.Before(e.At.Add(cfg.Keep)) })
}

// Covers reports whether merging another record of the fingerprint would change nothing.
func (r *Record) Covers(other Record) bool {
	if other.EverCrashed && !r.EverCrashed {
		return false
	}
	merged := r.clone()
	return !slices.ContainsFunc(other.Exposures, merged.mergeExposure)
}

func (r *Record) clone() Record {
	c := *r
	c.Exposures = slices.Clone(r.Exposures)
	return c
}

// Merge returns the union of two records of the same fingerprint, in either order.
func Merge(a, b Record) Record {
	out := a.clone()
	out.EverCrashed = a.EverCrashed || b.EverCrashed
	out.Part = a.Part || b.Part
	for _, e := range b.Exposures {
		out.mergeExposure(e)
	}
	return out
}
