package suspect

import (
	"maps"
	"time"
)

const (
	// MaxTrials is how often a suspect may be sent to a server before one answers it.
	MaxTrials = 3
	// firstTrialGap is the time between the first and the second trial, and trialGapFactor what
	// each later gap is longer by. The outcome of a trial must be known before the next.
	firstTrialGap  = 5 * time.Second
	trialGapFactor = 4
	// TrialTTL is how long trials count after the last one. It is not below TTL, after which the
	// request is no suspect any more.
	TrialTTL = TTL
	// maxTrialRequests bounds the memory of Trials.
	maxTrialRequests = 10_000
)

// Trials counts the sends of suspects. Its methods are deterministic, so that a replicated state
// machine may hold it: each replica applies the same calls with the same times.
type Trials struct {
	requests map[uint64]TrialCount
}

// TrialCount is the number of trials that a request has had; 0 if it is only known to be a suspect.
type TrialCount struct {
	Count int       `msgpack:"n"`
	Last  time.Time `msgpack:"t"`
	// Ask identifies who took the last one; see TakeOnce.
	Ask uint64 `msgpack:"a,omitempty"`
}

// Grant is the decision on a trial.
type Grant struct {
	Granted bool `msgpack:"g"`
	// After is how long it takes until a trial may be granted, if it is not.
	After time.Duration `msgpack:"a"`
	// Last reports that no further trial is granted until the request is forgotten.
	Last bool `msgpack:"l"`
	// Refused is the property that gets none, of several.
	Refused uint64 `msgpack:"r,omitempty"`
}

// NewTrials returns Trials with the counts of a snapshot.
func NewTrials(snapshot map[uint64]TrialCount) *Trials {
	t := &Trials{requests: make(map[uint64]TrialCount, len(snapshot))}
	maps.Copy(t.requests, snapshot)
	return t
}

// Take decides on a trial and counts it if it is granted.
func (t *Trials) Take(fingerprint uint64, now time.Time) Grant {
	grant := t.Check(fingerprint, now)
	if !grant.Granted {
		return grant
	}
	c := t.requests[fingerprint]
	if now.Sub(c.Last) > TrialTTL {
		c.Count = 0
	}
	t.expire(now)
	t.requests[fingerprint] = TrialCount{Count: c.Count + 1, Last: now}
	return grant
}

// TakeOnce is like Take for an entry that asks again when it gets no reply. ask is a random number, the
// same each time: the trial that was granted to it is granted again and not counted twice.
func (t *Trials) TakeOnce(fingerprint, ask uint64, now time.Time) Grant {
	if t.GrantedTo(fingerprint, ask) {
		return Grant{Granted: true}
	}
	grant := t.Take(fingerprint, now)
	if grant.Granted {
		c := t.requests[fingerprint]
		c.Ask = ask
		t.requests[fingerprint] = c
	}
	return grant
}

// TakeAll is TakeOnce for a request that needs trials of several properties: it gets all of them or none.
func (t *Trials) TakeAll(fingerprints []uint64, ask uint64, now time.Time) Grant {
	if grant := t.CheckAll(fingerprints, ask, now); !grant.Granted {
		return grant
	}
	for _, fingerprint := range fingerprints {
		t.TakeOnce(fingerprint, ask, now)
	}
	return Grant{Granted: true}
}

// CheckAll returns what TakeAll would decide.
func (t *Trials) CheckAll(fingerprints []uint64, ask uint64, now time.Time) Grant {
	for _, fingerprint := range fingerprints {
		if t.GrantedTo(fingerprint, ask) {
			continue
		}
		if grant := t.Check(fingerprint, now); !grant.Granted {
			grant.Refused = fingerprint
			return grant
		}
	}
	return Grant{Granted: true}
}

// GrantedTo reports whether the last trial of a request was granted to ask.
func (t *Trials) GrantedTo(fingerprint, ask uint64) bool {
	c, known := t.requests[fingerprint]
	return known && ask != 0 && c.Ask == ask
}

// Check returns what Take would decide.
func (t *Trials) Check(fingerprint uint64, now time.Time) Grant {
	c, known := t.requests[fingerprint]
	elapsed := now.Sub(c.Last) // negative if another leader's clock was ahead
	switch {
	case !known && len(t.requests) >= maxTrialRequests && t.oldest().Add(TrialTTL).After(now):
		return Grant{After: t.oldest().Add(TrialTTL).Sub(now)}
	case !known || c.Count == 0 || elapsed > TrialTTL:
		return Grant{Granted: true}
	case c.Count >= MaxTrials:
		return Grant{After: TrialTTL - elapsed, Last: true}
	case elapsed < c.gap():
		return Grant{After: c.gap() - elapsed}
	default:
		return Grant{Granted: true}
	}
}

// Note holds requests that are suspects and have had no trial, so that they stay suspects when all
// processes lose their records.
func (t *Trials) Note(fingerprints []uint64, now time.Time) {
	t.expire(now)
	for _, fingerprint := range fingerprints {
		c, known := t.requests[fingerprint]
		if len(t.requests) < maxTrialRequests && (!known || now.Sub(c.Last) > TrialTTL) {
			t.requests[fingerprint] = TrialCount{Last: now}
		}
	}
}

// Without returns those of the requests that are not held.
func (t *Trials) Without(fingerprints []uint64) (missing []uint64) {
	for _, fingerprint := range fingerprints {
		if _, known := t.requests[fingerprint]; !known {
			missing = append(missing, fingerprint)
		}
	}
	return missing
}

// Answered forgets the trials of a request that a server has answered.
func (t *Trials) Answered(fingerprint uint64) { delete(t.requests, fingerprint) }

// Snapshot returns a copy of all counts.
func (t *Trials) Snapshot() map[uint64]TrialCount { return maps.Clone(t.requests) }

// Requests returns the number of requests that are held.
func (t *Trials) Requests() int { return len(t.requests) }

// expire drops what is no longer counted once there are many.
func (t *Trials) expire(now time.Time) {
	if len(t.requests) >= maxTrialRequests {
		maps.DeleteFunc(t.requests, func(_ uint64, c TrialCount) bool { return now.Sub(c.Last) > TrialTTL })
	}
}

// oldest returns the time of the longest past last trial.
func (t *Trials) oldest() (oldest time.Time) {
	for _, c := range t.requests {
		if oldest.IsZero() || c.Last.Before(oldest) {
			oldest = c.Last
		}
	}
	return oldest
}

// gap returns the time from the last trial to the next one.
func (c TrialCount) gap() time.Duration {
	gap := firstTrialGap
	for range c.Count - 1 {
		gap *= trialGapFactor
	}
	return gap
}
