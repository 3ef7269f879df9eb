package quarantine

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

const (
	// crashesToQuarantine is the number of crashed servers that quarantines a fingerprint.
	crashesToQuarantine = 2
	// maxFirstRunServers is how many servers may run a fingerprint that has never finished.
	// All of them may crash, so it must not exceed crashesToQuarantine.
	maxFirstRunServers = 2
)

// Run is a run of a fingerprint by this entry, from Start until Finish, End or Crashed.
type Run struct {
	Fingerprint uint64
	Server      Server
	Grant       uint64
}

// Set holds the records and open runs of one entry. It is not safe for concurrent use.
type Set struct {
	cfg       Config
	records   map[uint64]*Record
	runs      map[Server][]Run
	version   uint64 // number of changes, for Delta
	lastGrant uint64 // highest grant number assigned
}

// New returns an empty Set. The error is a *policy.ConfigError.
func New(cfg Config) (*Set, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Set{cfg: cfg, records: make(map[uint64]*Record), runs: make(map[Server][]Run)}, nil
}

// Admit decides on a request of this entry or, at the owner, on one that another entry
// passed on; merge the record of the latter first.
func (s *Set) Admit(query Query) Verdict {
	record := s.records[query.Fingerprint]
	if record == nil {
		record = &Record{Fingerprint: query.Fingerprint}
	}
	crashed := record.crashed(&s.cfg, query.Now)
	switch {
	case len(crashed) >= crashesToQuarantine:
		return Verdict{Action: ActionRefuse, Reason: ReasonQuarantined, Until: record.quarantinedUntil(&s.cfg, query.Now)}
	case len(crashed) == 0 && record.knownGood(&s.cfg, query.Now):
		return Verdict{Action: ActionRun, Reason: ReasonKnownGood, Server: query.Server}
	case len(crashed) == 0 && !s.cfg.AskOwner:
		return Verdict{Action: ActionRun, Reason: ReasonNoSuspicion, Server: query.Server}
	}
	owner := query.View.Owner(query.Fingerprint)
	if owner == "" || query.Unreachable {
		// Without its owner a suspect must not run: the owner may have granted a trial of it on
		// another server.
		return Verdict{Action: ActionWait, Reason: ReasonNoOwner}
	}
	if owner != query.View.self {
		return Verdict{Action: ActionPass, Reason: ReasonNotOwner, Owner: owner, Record: record.clone()}
	}
	if len(crashed) == 0 {
		return s.grantFirstRun(query, record)
	}
	return s.grantTrial(query, record)
}

// grantFirstRun grants runs of a fingerprint that has neither finished nor crashed on at
// most maxFirstRunServers servers; further copies run on one of these.
func (s *Set) grantFirstRun(query Query, record *Record) Verdict {
	open := record.running(&s.cfg, query.Now)
	if len(open) < maxFirstRunServers {
		return s.grant(query, record, query.Server, ReasonFirstRuns)
	}
	if slices.Contains(open, query.Server) {
		return s.grant(query, record, query.Server, ReasonTogether)
	}
	return s.grant(query, record, open[0], ReasonTogether)
}

// grantTrial grants a run of a suspect if no other run of it is open and a server of this
// entry runs no suspect. It chooses among these servers by a hash of the fingerprint.
func (s *Set) grantTrial(query Query, record *Record) Verdict {
	if len(record.running(&s.cfg, query.Now)) > 0 {
		return Verdict{Action: ActionWait, Reason: ReasonOnTrial}
	}
	if query.Now.Sub(record.lastCrash()) < s.cfg.Settle {
		return Verdict{Action: ActionWait, Reason: ReasonSettling}
	}
	busy := s.OnTrial(query.Now)
	var best Server
	bestRank := uint64(0)
	for i, server := range query.View.ownServers {
		rank := hash.Pair(query.Fingerprint, uint64(i)+1)
		if !slices.Contains(busy, server) && (best.ID == "" || rank > bestRank) {
			best, bestRank = server, rank
		}
	}
	if best.ID == "" {
		return Verdict{Action: ActionWait, Reason: ReasonNoFreeServer}
	}
	return s.grant(query, record, best, ReasonTrial)
}

// grant records the run before it starts. If it were recorded afterwards, a crash of both
// the server and the entry that runs the request would leave no record, and the next copy
// would crash a third server.
func (s *Set) grant(query Query, record *Record, server Server, reason Reason) Verdict {
	s.lastGrant = max(s.lastGrant+1, uint64(query.Now.UnixNano()))
	e := Exposure{Server: server, Grant: s.lastGrant, State: StateTrial, At: query.Now}
	s.store(record)
	s.mergeExposure(record, e)
	return Verdict{Action: ActionRun, Reason: reason, Server: server, Grant: e.Grant, Record: record.clone()}
}

// Start records that this entry sends the request to the verdict's server. With a grant
// of another entry, merge the verdict's Record first.
func (s *Set) Start(fingerprint uint64, v Verdict) Run {
	run := Run{Fingerprint: fingerprint, Server: v.Server, Grant: v.Grant}
	s.runs[v.Server] = append(s.runs[v.Server], run)
	return run
}

// Finish records that the run ended with a complete answer. It clears the fingerprint:
// its earlier crashes had another cause. If the run had a grant, send the returned record to
// the owner.
func (s *Set) Finish(run Run, now time.Time) Record {
	s.removeRun(run)
	record := s.records[run.Fingerprint]
	if record == nil {
		if run.Grant == 0 {
			return Record{Fingerprint: run.Fingerprint}
		}
		record = &Record{Fingerprint: run.Fingerprint}
		s.store(record)
	}
	for _, e := range slices.Clone(record.Exposures) {
		if e.State == StateCrashed || e.Server == run.Server && e.Grant == run.Grant {
			s.mergeExposure(record, Exposure{Server: e.Server, Grant: e.Grant, State: StateCleared, At: now})
		}
	}
	if run.Grant != 0 {
		s.mergeExposure(record, Exposure{Server: run.Server, Grant: run.Grant, State: StateCleared, At: now})
	}
	return record.clone()
}

// End records that the run ended without an answer on a server that did not crash: it was
// cancelled, refused, or failed with an error. If the run had a grant, send the returned
// record to the owner.
func (s *Set) End(run Run, now time.Time) Record {
	s.removeRun(run)
	record := s.records[run.Fingerprint]
	if record == nil || run.Grant == 0 && !record.Suspect(&s.cfg, now) {
		return Record{Fingerprint: run.Fingerprint}
	}
	s.mergeExposure(record, Exposure{Server: run.Server, Grant: run.Grant, State: StateEnded, At: now})
	return record.clone()
}

// Crashed records the crash of a server and returns the records of all requests known to
// have run on it. Send them to all entries, and to the owners before any of the requests is
// retried. Every entry that learns of the crash must call it: if the entry that ran a
// request is lost together with the server, only the owner has the grant.
func (s *Set) Crashed(server Server, now time.Time) []Record {
	var suspects []Record
	runs := append(s.runs[server], s.openGrantsOn(server, now)...)
	delete(s.runs, server)
	for _, run := range runs {
		record := s.records[run.Fingerprint]
		if record == nil {
			record = &Record{Fingerprint: run.Fingerprint}
			s.store(record)
		}
		s.mergeExposure(record, Exposure{Server: server, Grant: run.Grant, State: StateCrashed, At: now})
		s.markOpenRuns(record, now)
		if !slices.ContainsFunc(suspects, func(r Record) bool { return r.Fingerprint == run.Fingerprint }) {
			suspects = append(suspects, record.clone())
		}
	}
	return suspects
}

// openGrantsOn returns the open runs on the server in all records, including runs of other
// entries.
func (s *Set) openGrantsOn(server Server, now time.Time) []Run {
	var runs []Run
	for _, record := range s.records {
		for _, e := range record.Exposures {
			if e.Server == server && e.State == StateTrial && now.Before(e.At.Add(s.cfg.TrialKeep)) {
				runs = append(runs, Run{Fingerprint: record.Fingerprint, Server: server, Grant: e.Grant})
			}
		}
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Grant, b.Grant))
	})
	return runs
}

// Merge merges a record of another entry and reports whether it changed anything.
func (s *Set) Merge(other Record, now time.Time) bool {
	record := s.records[other.Fingerprint]
	if record == nil {
		record = &Record{Fingerprint: other.Fingerprint}
	}
	changed := other.EverCrashed && !record.EverCrashed
	record.EverCrashed = record.EverCrashed || other.EverCrashed
	for _, e := range other.Exposures {
		if now.Before(e.At.Add(s.cfg.Keep)) && record.mergeExposure(e) {
			changed = true
		}
	}
	if !changed {
		return false
	}
	s.store(record)
	s.markChanged(record)
	s.markOpenRuns(record, now)
	return true
}

// markOpenRuns adds this entry's open runs of a suspect to its record, so that no trial is
// granted on their servers and their crashes are counted. It covers runs that started before
// the fingerprint became a suspect.
func (s *Set) markOpenRuns(record *Record, now time.Time) {
	if !record.Suspect(&s.cfg, now) {
		return
	}
	for server, runs := range s.runs {
		for _, run := range runs {
			if run.Fingerprint == record.Fingerprint {
				s.mergeExposure(record, Exposure{Server: server, Grant: run.Grant, State: StateTrial, At: now})
			}
		}
	}
}

// OnTrial returns the servers known to run a suspect, sorted. Routing sends no new work to
// them. It scans every record; call it when Version has changed, not for each request.
func (s *Set) OnTrial(now time.Time) []Server {
	var servers []Server
	for _, record := range s.records {
		if record.Suspect(&s.cfg, now) {
			servers = append(servers, record.running(&s.cfg, now)...)
		}
	}
	slices.SortFunc(servers, compareServers)
	return slices.Compact(servers)
}

// Delta returns the records that changed after version and had a crash, sorted by
// fingerprint, and the version to pass to the next call. Other records are only exchanged
// between the owner and the entry that runs the request.
func (s *Set) Delta(version uint64) ([]Record, uint64) {
	var changed []Record
	for _, record := range s.records {
		if record.changed > version && record.EverCrashed {
			changed = append(changed, record.clone())
		}
	}
	slices.SortFunc(changed, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return changed, s.version
}

// Version returns a number that increases with each change of a record.
func (s *Set) Version() uint64 { return s.version }

// Expire deletes records older than Config.Keep. Call it about every minute.
func (s *Set) Expire(now time.Time) {
	for fingerprint, record := range s.records {
		if !record.expire(&s.cfg, now) {
			delete(s.records, fingerprint)
		}
	}
}

// Record returns what is known of a fingerprint.
func (s *Set) Record(fingerprint uint64) (Record, bool) {
	r := s.records[fingerprint]
	if r == nil {
		return Record{Fingerprint: fingerprint}, false
	}
	return r.clone(), true
}

// Len returns the number of records.
func (s *Set) Len() int { return len(s.records) }

// store adds a record, evicting others if MaxRecords is reached.
func (s *Set) store(record *Record) {
	if s.records[record.Fingerprint] != nil {
		return
	}
	if len(s.records) >= s.cfg.MaxRecords {
		s.evict()
	}
	s.records[record.Fingerprint] = record
	s.markChanged(record)
}

// evict deletes an eighth of the records: those without a crash first, then the least
// recently changed. Deleting several at once avoids sorting on each insertion.
func (s *Set) evict() {
	all := make([]*Record, 0, len(s.records))
	for _, record := range s.records {
		all = append(all, record)
	}
	slices.SortFunc(all, func(a, b *Record) int {
		if a.EverCrashed != b.EverCrashed {
			if b.EverCrashed {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.changed, b.changed)
	})
	for _, record := range all[:len(all)/8+1] {
		delete(s.records, record.Fingerprint)
	}
}

func (s *Set) mergeExposure(record *Record, e Exposure) {
	if record.mergeExposure(e) {
		s.markChanged(record)
	}
}

func (s *Set) markChanged(record *Record) {
	s.version++
	record.changed = s.version
}

func (s *Set) removeRun(run Run) {
	runs := s.runs[run.Server]
	if i := slices.Index(runs, run); i >= 0 {
		runs = slices.Delete(runs, i, i+1)
	}
	if len(runs) == 0 {
		delete(s.runs, run.Server)
		return
	}
	s.runs[run.Server] = runs
}
