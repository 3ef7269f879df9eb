package coordinator

import (
	"maps"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/suspect"
)

// trialCommand takes a trial of each of a request's suspect properties, or forgets their trials if a server
// has answered it.
type trialCommand struct {
	Fingerprint  uint64    `msgpack:"fp,omitempty"` // the only one, in logs of earlier versions
	Fingerprints []uint64  `msgpack:"fps,omitempty"`
	Answered     bool      `msgpack:"answered,omitempty"`
	Ask          uint64    `msgpack:"ask,omitempty"` // of the TrialRequest
	At           time.Time `msgpack:"at"`            // by the leader's clock
}

func (c *trialCommand) properties() []uint64 {
	if c.Fingerprint != 0 {
		return append([]uint64{c.Fingerprint}, c.Fingerprints...)
	}
	return c.Fingerprints
}

// applyTrial returns the decision on a trial.
func (s *state) applyTrial(c trialCommand) suspect.Grant {
	s.mu.Lock()
	var grant suspect.Grant
	if c.Answered {
		for _, fingerprint := range c.properties() {
			s.trials.Answered(fingerprint)
		}
	} else {
		grant = s.trials.TakeAll(c.properties(), c.Ask, c.At)
	}
	s.mu.Unlock()
	s.notifyTrials()
	return grant
}

// suspectsCommand lists requests that have become suspects.
type suspectsCommand struct {
	Fingerprints []uint64  `msgpack:"fps"`
	At           time.Time `msgpack:"at"` // by the leader's clock
}

// applySuspects holds suspects for the time after all processes have lost their records.
func (s *state) applySuspects(c suspectsCommand) struct{} {
	s.mu.Lock()
	s.trials.Note(c.Fingerprints, c.At)
	s.mu.Unlock()
	s.notifyTrials()
	return struct{}{}
}

// withoutTrials returns those of the suspects that this state does not hold.
func (s *state) withoutTrials(fingerprints []uint64) []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.trials.Without(fingerprints)
}

// checkTrial returns what applyTrial would decide by the entries of the log that are applied.
func (s *state) checkTrial(fingerprints []uint64, ask uint64, now time.Time) suspect.Grant {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.trials.CheckAll(fingerprints, ask, now)
}

// notifyTrials passes the requests that trials holds to onTrials.
func (s *state) notifyTrials() {
	s.mu.RLock()
	list := slices.Sorted(maps.Keys(s.trials.Snapshot()))
	s.mu.RUnlock()
	s.onTrials(list)
}
