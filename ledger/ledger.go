// Package ledger records the idempotency keys of requests that must not run
// twice. Before an entry sends such a request to a backend server, a majority of
// control replicas commits its key to the ledger. A repetition of the request, at
// any entry, then finds the record of the first.
//
// A Ledger is a deterministic state machine: replicas that apply the same
// commands in the same order have the same records. It uses the time in the
// commands, not a clock.
package ledger

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Bounds of the ledger. All replicas must use the same values, since the results
// of commands depend on them.
const (
	// Retention is how long a finished record is kept. A resend after that time
	// runs the request again.
	Retention = 24 * time.Hour
	// MaxRecords is the maximum number of records. A full ledger refuses new keys;
	// deleting a record early could run its request twice.
	MaxRecords = 1_000_000
	// MaxAnswerBytes is the maximum size of an answer's body that is stored for a
	// resend.
	MaxAnswerBytes = 16 << 10
)

// State is the state of a recorded request.
type State uint8

// The states of a record. Begun may become Answered or Unknown; Unknown may
// become Answered if the owner reports the answer late.
const (
	Begun    State = iota + 1 // may be running
	Answered                  // completely answered
	Unknown                   // may have run; the outcome cannot be determined
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"none", "begun", "answered", "unknown"}[min(int(s), 3)]
}

// Key identifies a request: its workspace and the caller's Idempotency-Key.
type Key struct {
	Workspace string `msgpack:"w"`
	Value     string `msgpack:"k"`
}

// Owner is the incarnation of an entry that runs a request. Once the entry has
// restarted under a higher incarnation, the request is no longer running.
type Owner struct {
	Entry       string `msgpack:"e"`
	Incarnation uint64 `msgpack:"i"`
}

// Answer is the stored answer of a finished request.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
	Omitted     bool   `msgpack:"o"` // the body was larger than MaxAnswerBytes
}

// Record is the record of one key.
type Record struct {
	Key         Key     `msgpack:"k"`
	State       State   `msgpack:"s"`
	Fingerprint uint64  `msgpack:"f"` // of the request, see request.Request.Fingerprint
	RequestID   string  `msgpack:"r"`
	Owner       Owner   `msgpack:"o"`
	UpdatedAt   int64   `msgpack:"t"` // Unix milliseconds, when the state last changed
	Answer      *Answer `msgpack:"a,omitempty"`
}

// Op is the operation of a Command.
type Op uint8

// The operations.
const (
	OpBegin   Op = iota + 1 // record the key, unless it is recorded
	OpFinish                // the request was answered
	OpRelease               // the request did not run: delete the record
	OpGiveUp                // the request may have run: set the state to Unknown
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

// Verdict is the outcome of a command.
type Verdict uint8

// The verdicts.
const (
	VerdictStarted  Verdict = iota + 1 // the key is recorded; the owner may run the request
	VerdictRunning                     // another attempt with the key is running
	VerdictAnswered                    // it was answered; the record contains the answer
	VerdictUnknown                     // it may have run
	VerdictMismatch                    // the key belongs to another request
	VerdictFull                        // the ledger is full; the key is not recorded
	VerdictDone                        // the command was applied
	VerdictStale                       // the record is missing, of another owner or request, or in another state
)

// String returns the name of the verdict, as logged.
func (v Verdict) String() string {
	names := [...]string{"none", "started", "running", "answered", "unknown", "mismatch", "full", "done", "stale"}
	return names[min(int(v), len(names)-1)]
}

// Result is the result of a command.
type Result struct {
	Verdict Verdict `msgpack:"v"`
	Record  *Record `msgpack:"r,omitempty"` // a copy; nil if there is no record
}

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	records    map[Key]*Record
	finished   []finishedRecord // in the order in which they finished; for expiry
	clock      int64            // Unix milliseconds, the highest time of a command
	maxRecords int
}

type finishedRecord struct {
	Key Key   `msgpack:"k"`
	At  int64 `msgpack:"t"` // Unix milliseconds
}

// New returns an empty ledger for at most maxRecords records.
func New(maxRecords int) *Ledger {
	return &Ledger{records: map[Key]*Record{}, maxRecords: maxRecords}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Get returns a copy of the record of key and whether it exists.
func (l *Ledger) Get(key Key) (Record, bool) {
	r, ok := l.records[key]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Apply expires old records, applies one command and returns its result.
func (l *Ledger) Apply(c Command) Result {
	l.clock = max(l.clock, c.Now) // the clock of a new leader may be behind
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

// beginExisting handles OpBegin for a key that is recorded. If owner and request
// id are those of the record, the entry resends the command because it did not
// receive the result, and may run the request.
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

// finish stores the answer. It accepts the owner's answer also in state Unknown,
// since the answer shows that the request ran.
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

// omitLargeBody returns a without its body if that exceeds MaxAnswerBytes.
func omitLargeBody(a *Answer) *Answer {
	if a == nil || len(a.Body) <= MaxAnswerBytes {
		return a
	}
	return &Answer{Status: a.Status, ContentType: a.ContentType, Omitted: true}
}

// release deletes the record of a request that did not run. Only the owner may do
// so, and only in state Begun.
func (l *Ledger) release(r *Record, c Command) Result {
	if r.State != Begun || r.Owner != c.Owner || r.RequestID != c.RequestID {
		return newResult(VerdictStale, r)
	}
	delete(l.records, r.Key)
	return Result{Verdict: VerdictDone}
}

// giveUp sets the state of a begun record to Unknown. Any entry may do so once the
// owner has gone; the request id must match, since another request may have
// recorded the key in the meantime.
func (l *Ledger) giveUp(r *Record, c Command) Result {
	if r.RequestID != c.RequestID || r.State == Answered {
		return newResult(VerdictStale, r)
	}
	if r.State == Begun {
		l.markFinished(r, Unknown)
	}
	return newResult(VerdictDone, r)
}

// markFinished sets the state and queues the record for expiry.
func (l *Ledger) markFinished(r *Record, state State) {
	r.State = state
	r.UpdatedAt = l.clock
	l.finished = append(l.finished, finishedRecord{Key: r.Key, At: l.clock})
}

// expire deletes records that finished more than Retention ago. A begun record is
// not deleted, since its request could then run twice.
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

// newResult returns a Result with a copy of r.
func newResult(v Verdict, r *Record) Result {
	c := *r
	return Result{Verdict: v, Record: &c}
}

type ledgerSnapshot struct {
	Records []*Record        `msgpack:"r"`
	Ended   []finishedRecord `msgpack:"e"`
	Clock   int64            `msgpack:"c"`
}

// Snapshot returns the encoded ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := ledgerSnapshot{Ended: l.finished, Clock: l.clock, Records: make([]*Record, 0, len(l.records))}
	for _, r := range l.records {
		s.Records = append(s.Records, r)
	}
	enc, err := msgpack.Marshal(&s)
	return enc, trace.Wrap(err, "step=snapshot ledger")
}

// Restore decodes a ledger that Snapshot encoded.
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
