// Package ledger records requests that must not run twice. Before the first
// byte of such a request goes to a backend server, its key is committed here
// by a majority of control replicas; a second arrival of the same key, at any
// entry, then finds the first one.
//
// A Ledger is a deterministic state machine: every replica that applies the
// same commands in the same order holds the same records. Time comes in with
// the commands.
package ledger

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Bounds of the ledger, part of the replicated state machine: every replica
// must hold the same values.
const (
	// Retention is how long a finished record is kept. A resend that comes
	// later would run again, so it is far longer than a client keeps trying.
	Retention = 24 * time.Hour
	// MaxRecords bounds memory. A full ledger refuses new keys, as not run:
	// forgetting an old one early could run its request twice.
	MaxRecords = 1_000_000
	// MaxAnswer is the largest answer in bytes that is kept for a resend.
	MaxAnswerBytes = 16 << 10
)

// State is how far a recorded request has come.
type State uint8

// The states of a record. Begun may become Answered or Unknown; Unknown may
// still become Answered when the entry that ran it reports late.
const (
	Begun    State = iota + 1 // it may be running
	Answered                  // its answer was whole
	Unknown                   // it may have run: nobody can tell
)

// String names the state.
func (s State) String() string {
	return [...]string{"none", "begun", "answered", "unknown"}[min(int(s), 3)]
}

// Key identifies a request: the caller's Idempotency-Key within its workspace.
type Key struct {
	Workspace string `msgpack:"w"`
	Value     string `msgpack:"k"`
}

// Owner is the entry that runs a request, in one of its lives: a request whose
// owner came back under a higher incarnation is no longer running.
type Owner struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
}

// Answer is the kept answer of a finished request.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
	Omitted     bool   `msgpack:"o"` // the body was larger than MaxAnswer
}

// Record is what the ledger knows of one key.
type Record struct {
	Key         Key     `msgpack:"k"`
	State       State   `msgpack:"s"`
	Fingerprint uint64  `msgpack:"f"` // of service, method, path and body
	RequestID   string  `msgpack:"r"`
	Owner       Owner   `msgpack:"o"`
	UpdatedAt   int64   `msgpack:"t"` // Unix milliseconds of the last command
	Answer      *Answer `msgpack:"a,omitempty"`
}

// Op is what a command does.
type Op uint8

// The operations.
const (
	OpBegin   Op = iota + 1 // record the key, unless it is known
	OpFinish                // the request was answered
	OpRelease               // the request surely did not run: forget the key
	OpGiveUp                // nobody can tell whether it ran
)

// Command is one change of the ledger.
type Command struct {
	Op          Op      `msgpack:"op"`
	Key         Key     `msgpack:"k"`
	Fingerprint uint64  `msgpack:"f"`
	RequestID   string  `msgpack:"r"`
	Owner       Owner   `msgpack:"o"`
	Answer      *Answer `msgpack:"a,omitempty"`
	Now         int64   `msgpack:"n"` // Unix milliseconds by the leader's clock
}

// Verdict says what a command met.
type Verdict uint8

// The verdicts.
const (
	VerdictStarted  Verdict = iota + 1 // the key is new: the request may run now
	VerdictRunning                     // another arrival of it is running
	VerdictAnswered                    // it was answered; the record holds the answer
	VerdictUnknown                     // it may have run
	VerdictMismatch                    // the key belongs to another request
	VerdictFull                        // no room: not run
	VerdictDone                        // the command took effect
	VerdictStale                       // the command came from an entry that does not own the record
)

// String names the verdict as logs show it.
func (v Verdict) String() string {
	names := [...]string{"none", "started", "running", "answered", "unknown", "mismatch", "full", "done", "stale"}
	return names[min(int(v), len(names)-1)]
}

// Result answers a command.
type Result struct {
	Verdict Verdict `msgpack:"v"`
	Record  *Record `msgpack:"r,omitempty"`
}

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	records    map[Key]*Record
	finished   []finishedRecord // finished records in the order of their end
	clock      int64            // highest command time seen
	maxRecords int
}

type finishedRecord struct {
	Key Key   `msgpack:"k"`
	At  int64 `msgpack:"t"`
}

// New returns an empty ledger that holds at most limit records.
func New(maxRecords int) *Ledger {
	return &Ledger{records: map[Key]*Record{}, maxRecords: maxRecords}
}

// Len is the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Get returns a copy of the record of key.
func (l *Ledger) Get(key Key) (Record, bool) {
	r, ok := l.records[key]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Apply takes one command.
func (l *Ledger) Apply(c Command) Result {
	l.clock = max(l.clock, c.Now) // a new leader's clock may be behind the old one's
	l.expire()
	if c.Op == OpBegin {
		return l.begin(c)
	}
	r, found := l.records[c.Key]
	if !found {
		return Result{Verdict: VerdictStale}
	}
	switch c.Op {
	case OpFinish:
		return l.finish(r, c)
	case OpRelease:
		return l.release(r, c)
	case OpGiveUp:
		return l.giveUp(r, c)
	default:
		return Result{Verdict: VerdictStale}
	}
}

func (l *Ledger) begin(c Command) Result {
	if r, found := l.records[c.Key]; found {
		return l.beginExisting(r, c)
	}
	if len(l.records) >= l.maxRecords {
		return Result{Verdict: VerdictFull}
	}
	r := &Record{
		Key: c.Key, State: Begun, Fingerprint: c.Fingerprint, RequestID: c.RequestID,
		Owner: c.Owner, UpdatedAt: l.clock,
	}
	l.records[c.Key] = r
	return newResult(VerdictStarted, r)
}

// again answers a second arrival of a key. The same entry asking again for the
// same request id has lost the answer to its first question and may run it:
// without this, a lost answer between entry and control would turn a request
// that never ran into one whose outcome is unknown.
func (l *Ledger) beginExisting(r *Record, c Command) Result {
	switch {
	case r.Fingerprint != c.Fingerprint:
		return newResult(VerdictMismatch, r)
	case r.State == Answered:
		return newResult(VerdictAnswered, r)
	case r.State == Unknown:
		return newResult(VerdictUnknown, r)
	case r.Owner == c.Owner && r.RequestID == c.RequestID:
		return newResult(VerdictStarted, r)
	default:
		return newResult(VerdictRunning, r)
	}
}

// finish keeps the answer. It is taken from the owner also after the record was
// given up: the request did end, and its answer is better than "unknown".
func (l *Ledger) finish(r *Record, c Command) Result {
	if r.Owner != c.Owner || r.RequestID != c.RequestID {
		return newResult(VerdictStale, r)
	}
	if r.State == Answered {
		return newResult(VerdictDone, r)
	}
	r.Answer = omitLargeBody(c.Answer)
	l.markFinished(r, Answered)
	return newResult(VerdictDone, r)
}

func omitLargeBody(a *Answer) *Answer {
	if a == nil || len(a.Body) <= MaxAnswerBytes {
		return a
	}
	return &Answer{Status: a.Status, ContentType: a.ContentType, Omitted: true}
}

// release forgets a key whose request surely did not run. Only the owner can
// know that, and only before the record has been given up.
func (l *Ledger) release(r *Record, c Command) Result {
	if r.State != Begun || r.Owner != c.Owner || r.RequestID != c.RequestID {
		return newResult(VerdictStale, r)
	}
	delete(l.records, r.Key)
	return Result{Verdict: VerdictDone}
}

// giveUp says that nobody can tell whether the request ran. Any entry may say
// so of a record whose owner is gone; RequestID guards against giving up
// another request that took the key meanwhile.
func (l *Ledger) giveUp(r *Record, c Command) Result {
	if r.RequestID != c.RequestID || r.State == Answered {
		return newResult(VerdictStale, r)
	}
	if r.State == Begun {
		l.markFinished(r, Unknown)
	}
	return newResult(VerdictDone, r)
}

func (l *Ledger) markFinished(r *Record, state State) {
	r.State = state
	r.UpdatedAt = l.clock
	l.finished = append(l.finished, finishedRecord{Key: r.Key, At: l.clock})
}

// expire forgets finished records after Retention. A record that is still begun
// stays: forgetting it could let its request run twice.
func (l *Ledger) expire() {
	cutoff := l.clock - Retention.Milliseconds()
	expired := 0
	for expired < len(l.finished) && l.finished[expired].At < cutoff {
		e := l.finished[expired]
		expired++
		r, found := l.records[e.Key]
		if found && r.State != Begun && r.UpdatedAt == e.At {
			delete(l.records, e.Key)
		}
	}
	l.finished = slices.Delete(l.finished, 0, expired)
}

func newResult(v Verdict, r *Record) Result {
	c := *r
	return Result{Verdict: v, Record: &c}
}

type ledgerSnapshot struct {
	Records []*Record        `msgpack:"r"`
	Ended   []finishedRecord `msgpack:"e"`
	Clock   int64            `msgpack:"c"`
}

// Snapshot encodes the whole ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := ledgerSnapshot{Ended: l.finished, Clock: l.clock, Records: make([]*Record, 0, len(l.records))}
	for _, r := range l.records {
		s.Records = append(s.Records, r)
	}
	enc, err := msgpack.Marshal(&s)
	return enc, trace.Wrap(err, "step=snapshot ledger")
}

// Restore decodes what Snapshot wrote.
func Restore(enc []byte, maxRecords int) (*Ledger, error) {
	var s ledgerSnapshot
	if err := msgpack.Unmarshal(enc, &s); err != nil {
		return nil, trace.Wrap(err, "step=restore ledger")
	}
	l := New(maxRecords)
	l.finished, l.clock = s.Ended, s.Clock
	for _, r := range s.Records {
		l.records[r.Key] = r
	}
	return l, nil
}
