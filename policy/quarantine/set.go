package quarantine

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/hash"
)

const (
	// crashesToQuarantine is the number of servers lost that quarantines.
	crashesToQuarantine = 2
	// maxFirstRunServers is on how many servers a fingerprint that has never finished may
	// run at once. All of them may crash, so more would break the bound.
	maxFirstRunServers = 2
)

// Run is one run of a fingerprint by this entry, from Start to Finish, End or
// Crashed.
type Run struct {
	Fingerprint uint64
	Server      Server
	Grant       uint64
}

// Set is one entry's records and its own open runs. Not safe for concurrent use.
type Set struct {
	cfg       Config
	records   map[uint64]*Record
	runs      map[Server][]Run
	version   uint64 // counts changes, for Delta
	lastGrant uint64 // highest grant given
}

// New returns an empty Set. The error is a *policy.ConfigError.
func New(cfg Config) (*Set, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Set{cfg: cfg, records: make(map[uint64]*Record), runs: make(map[Server][]Run)}, nil
}

// Admit decides on a request, either of this entry's own or, at the owner, one
// that another entry passed on after its Record was merged.
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
		// To run a suspect on one's own word is what the bound forbids: the owner
		// may have a trial of it open on another server.
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

// grantFirstRun lets a fingerprint that has neither finished nor crashed run on at
// most openRuns servers at once; more copies join one of those.
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

// grantTrial lets a suspect run if no other run of it is open and one of the
// owner's servers runs no suspect. The server is the suspect's first by
// rendezvous hashing among the free ones.
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

// grant records the run before it begins. A grant that was only remembered
// after the run would be forgotten exactly when it matters: the server crashes,
// the runner is lost, and the next copy goes to a third server.
func (s *Set) grant(query Query, record *Record, server Server, reason Reason) Verdict {
	s.lastGrant = max(s.lastGrant+1, uint64(query.Now.UnixNano()))
	e := Exposure{Server: server, Grant: s.lastGrant, State: StateTrial, At: query.Now}
	s.store(record)
	s.mergeExposure(record, e)
	return Verdict{Action: ActionRun, Reason: reason, Server: server, Grant: e.Grant, Record: record.clone()}
}

// Start notes that this entry sends the request to the verdict's server. With a
// grant from another entry, merge the verdict's Record first.
func (s *Set) Start(fingerprint uint64, v Verdict) Run {
	run := Run{Fingerprint: fingerprint, Server: v.Server, Grant: v.Grant}
	s.runs[v.Server] = append(s.runs[v.Server], run)
	return run
}

// Finish notes that the run ended with a whole answer: the request is harmless,
// and its earlier crashes had another cause. The record returned goes to the
// owner if the run had a grant.
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

// End notes that the run ended without an answer on a server that is known to
// live: cancelled, refused, or failed with an error. The record returned goes to
// the owner if the run had a grant.
func (s *Set) End(run Run, now time.Time) Record {
	s.removeRun(run)
	record := s.records[run.Fingerprint]
	if record == nil || run.Grant == 0 && !record.Suspect(&s.cfg, now) {
		return Record{Fingerprint: run.Fingerprint}
	}
	s.mergeExposure(record, Exposure{Server: run.Server, Grant: run.Grant, State: StateEnded, At: now})
	return record.clone()
}

// Crashed notes that a server crashed and returns the records of all that is
// known to have run there, each with a strike. They go to all entries at once,
// and to the owners before any of them is tried again. Call it at every entry
// that hears of the crash, not only where a connection broke: the runner of a
// grant may be lost together with the server, and then only the owner knows.
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

// openGrantsOn returns the open runs on the server that other entries began.
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

// Merge takes in a record from another entry and reports whether it brought
// anything new.
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

// markOpenRuns records this entry's open runs of a suspect that began before it was
// one, so that their servers take no trial and count as possible losses.
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

// OnTrial returns the servers that run a suspect as far as is known, sorted.
// Routing excludes them for new work, which would be lost with them. It looks at
// every record; ask again when Version has changed, not for each request.
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

// Delta returns the records that changed after version and have to do with a
// crash, by fingerprint, and the version to ask from next time. Grants of
// requests that no server has crashed under stay between runner and owner.
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

// Version changes whenever a record does.
func (s *Set) Version() uint64 { return s.version }

// Expire forgets what is older than the configuration keeps. Call it every
// minute or so.
func (s *Set) Expire(now time.Time) {
	for fingerprint, record := range s.records {
		if !record.expire(&s.cfg, now) {
			delete(s.records, fingerprint)
		}
	}
}

// Len returns the number of records.
func (s *Set) Len() int { return len(s.records) }

// store stores a record and makes room for it if need be.
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

// evict drops an eighth of the records: first those that no server crashed
// under, and of them those that changed longest ago. Dropping many at a time
// keeps the sort off most calls.
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
