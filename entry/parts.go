package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/policy/suspect"
)

const (
	// maxPartsWatched bounds the messages of a chat that are watched as parts of its prompt.
	maxPartsWatched = 16
	// maxChanges exceeds the parts that one server's crash can change.
	maxChanges = 1 << 20
)

// partsOf returns the fingerprints of the messages of a chat but the last, which is the chat's own.
func partsOf(messages []native.Message) (parts []uint64) {
	for i := range min(len(messages)-1, maxPartsWatched) {
		parts = append(parts, suspect.PartFingerprint(native.NextPrefixHash(0, messages[i])))
	}
	return parts
}

// partSuspects holds which parts of prompts are suspected of crashing servers, as far as one entry knows:
// chats that share a message are otherwise unlike, so that the quarantine of whole requests finds none of
// them. policy/suspect decides; entries send each other quarantine records of parts, which travel,
// are merged and are committed like those of requests. It is not safe for concurrent use.
type partSuspects struct {
	view    *suspect.View
	records map[uint64]quarantine.Record // by part
	running map[quarantine.Run]*partRun  // runs of this entry
	refused map[uint64]time.Time         // until when no trial of a part is asked for
	config  quarantine.Config
}

// partRun is the parts of a run's request. Runs of equal requests may have one key.
type partRun struct {
	parts []uint64
	count int
}

func newPartSuspects() *partSuspects {
	return &partSuspects{
		view: suspect.NewView(), records: map[uint64]quarantine.Record{}, running: map[quarantine.Run]*partRun{},
		refused: map[uint64]time.Time{}, config: quarantine.DefaultConfig(),
	}
}

// start records a run of a request with these parts.
func (p *partSuspects) start(run quarantine.Run, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	if p.running[run] == nil {
		p.running[run] = &partRun{parts: parts}
	}
	p.running[run].count++
}

// end records that a run is over, and returns the parts of its request.
func (p *partSuspects) end(run quarantine.Run) []uint64 {
	r := p.running[run]
	if r == nil {
		return nil
	}
	if r.count--; r.count == 0 {
		delete(p.running, run)
	}
	return r.parts
}

// finish records a run whose answer is complete, and returns the records to send to all entries: an answer
// speaks for all parts of its request.
func (p *partSuspects) finish(run quarantine.Run, now time.Time) []quarantine.Record {
	version := p.view.Set.Version()
	for _, part := range p.end(run) {
		p.view.RecordAnswer(part, now)
	}
	return p.changedSince(version, now)
}

// crashed records that a server crashed, and returns the records to send to all entries: each part of a
// request that ran there may be the cause.
func (p *partSuspects) crashed(server quarantine.Server, now time.Time) []quarantine.Record {
	var parts []uint64
	for run, r := range p.running {
		if run.Server == server {
			parts = append(parts, r.parts...)
			delete(p.running, run)
		}
	}
	slices.Sort(parts)
	version := p.view.Set.Version()
	p.view.RecordBreak(slices.Compact(parts), suspect.Server{ID: server.ID, Incarnation: server.Incarnation}, now)
	return p.changedSince(version, now)
}

// changedSince returns the records of the parts that changed after a version of the set.
func (p *partSuspects) changedSince(version uint64, now time.Time) (changed []quarantine.Record) {
	list, _ := p.view.Set.Since(version, maxChanges, now)
	for i := range list {
		changed = append(changed, p.store(recordOfPart(&list[i], now), now))
	}
	return changed
}

// store merges a record of a part and returns all that is known of the part.
func (p *partSuspects) store(r quarantine.Record, now time.Time) quarantine.Record {
	merged := r
	if known, exists := p.records[r.Fingerprint]; exists {
		merged = quarantine.Merge(known, r)
	}
	merged.Prune(&p.config, now)
	p.records[r.Fingerprint] = merged
	return merged
}

// merge merges the record of a part that another entry has sent.
func (p *partSuspects) merge(r quarantine.Record, now time.Time) {
	p.store(r, now)
	p.view.Set.Merge([]suspect.Record{suspectOfPart(r, now)}, now)
}

// needed returns the parts of a request that a send of it needs trials of. refusedUntil is when the trials
// may be asked for, if one was refused lately.
func (p *partSuspects) needed(parts []uint64, now time.Time) (needed []uint64, refusedUntil time.Time) {
	if len(parts) == 0 || p.view.Empty() {
		return nil, time.Time{}
	}
	needed = p.view.Needed(parts, now)
	for _, part := range needed {
		if until := p.refused[part]; until.After(now) && until.After(refusedUntil) {
			refusedUntil = until
		}
	}
	return needed, refusedUntil
}

// recordRefusal records that a part gets no trial for a while.
func (p *partSuspects) recordRefusal(g *suspect.Grant, now time.Time) {
	p.refused[g.Refused] = now.Add(min(g.After, maxTrialRetryAfter))
}

// grantTrials decides on trials of parts, at the entry that owns them. It returns the records that hold the
// trials, which are to be committed before the trials are used.
func (p *partSuspects) grantTrials(parts []uint64, now time.Time) (suspect.Grant, []quarantine.Record) {
	counts := map[uint64]suspect.TrialCount{}
	for _, part := range parts {
		if c := trialCount(p.records[part]); c.Count > 0 {
			counts[part] = c
		}
	}
	grant := suspect.NewTrials(counts).CheckAll(parts, 0, now)
	if !grant.Granted {
		return grant, nil
	}
	var changed []quarantine.Record
	for _, part := range parts {
		trial := quarantine.Exposure{Grant: rand.Uint64() | 1, State: quarantine.StateTrial, At: now}
		r := quarantine.Record{Fingerprint: part, Part: true, EverCrashed: true, Exposures: []quarantine.Exposure{trial}}
		changed = append(changed, p.store(r, now))
	}
	return grant, changed
}

// expire drops what is no longer counted.
func (p *partSuspects) expire(now time.Time) {
	p.view.Expire(now)
	for part, r := range p.records {
		if r.Expired(&p.config, now) {
			delete(p.records, part)
		}
	}
	for part, until := range p.refused {
		if !until.After(now) {
			delete(p.refused, part)
		}
	}
}

// The record of a part holds each server that crashed under it as a run there that crashed, each trial as a
// run on no server with a number of its own, and the last answer as a run on no server that has finished.

// recordOfPart converts what policy/suspect knows of a part.
func recordOfPart(s *suspect.Record, now time.Time) quarantine.Record {
	r := quarantine.Record{Fingerprint: s.Fingerprint, Part: true, EverCrashed: true}
	if s.Answered {
		r.Exposures = append(r.Exposures, quarantine.Exposure{State: quarantine.StateCleared, At: now.Add(-s.AnsweredAge)})
	}
	for _, b := range s.Breaks {
		r = quarantine.Merge(r, quarantine.Record{Part: true, Exposures: []quarantine.Exposure{
			{Server: quarantine.Server{ID: b.Server.ID, Incarnation: b.Server.Incarnation}, State: quarantine.StateCrashed, At: now.Add(-b.Age)},
		}})
	}
	return r
}

// suspectOfPart converts a record of a part to what policy/suspect reads.
func suspectOfPart(r quarantine.Record, now time.Time) suspect.Record {
	out := suspect.Record{Fingerprint: r.Fingerprint}
	for _, e := range r.Exposures {
		switch e.State {
		case quarantine.StateCrashed:
			out.Breaks = append(out.Breaks, suspect.Break{Server: suspect.Server{ID: e.Server.ID, Incarnation: e.Server.Incarnation}, Age: now.Sub(e.At)})
		case quarantine.StateCleared:
			out.Answered, out.AnsweredAge = true, now.Sub(e.At)
		}
	}
	return out
}

// trialCount returns the trials of a part since it was last answered.
func trialCount(r quarantine.Record) (c suspect.TrialCount) {
	var answeredAt time.Time
	for _, e := range r.Exposures {
		if e.State == quarantine.StateCleared {
			answeredAt = e.At
		}
	}
	for _, e := range r.Exposures {
		if e.State != quarantine.StateTrial || !e.At.After(answeredAt) {
			continue
		}
		c.Count++
		if e.At.After(c.Last) {
			c.Last = e.At
		}
	}
	return c
}
