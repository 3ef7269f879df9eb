// Package request describes one caller's request while the system holds it:
// who it is, until when it matters, how it ended, and the journal of the
// answer so far.
package request

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/contract"
)

// idBytes is the length of the random part of an ID. 128 bits can't be guessed,
// so an ID also serves as the right to fetch its answer: a redirect to another
// entry loses the caller's Authorization header in most HTTP clients.
const idRandomBytes = 16

// ID names a request, unguessable and unique over all entries and regions:
// the region that took it, "-", and 32 hex digits.
type ID string

// NewID returns a fresh ID of a region.
func NewID(region string) ID {
	var b [idRandomBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	return ID(region + "-" + hex.EncodeToString(b[:]))
}

// Outcome is how a request ended. Every request ends in exactly one.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered" // the caller has, or can fetch, the whole answer
	NotRun   Outcome = "not_run"  // no byte of it reached a backend server that could have run it
	Unknown  Outcome = "unknown"  // it may have run, and nobody can tell
)

// Request is one accepted request. It does not change after admission.
type Request struct {
	ID          ID             `msgpack:"id"`
	Workspace   string         `msgpack:"ws"`
	Service     string         `msgpack:"svc"`
	Class       contract.Class `msgpack:"class"`
	Method      string         `msgpack:"method"`
	Path        string         `msgpack:"path"` // of a plain call, with its query
	ContentType string         `msgpack:"ctype"`
	Accept      string         `msgpack:"accept"`
	Body        []byte         `msgpack:"body"`
	Stream      bool           `msgpack:"stream"`
	Key         string         `msgpack:"key"` // Idempotency-Key; empty: none
	Idempotent  bool           `msgpack:"idem"`
	Keep        bool           `msgpack:"keep"` // goes on when the caller leaves
	Deadline    time.Time      `msgpack:"deadline"`
	Accepted    time.Time      `msgpack:"accepted"`
	Cost        int            `msgpack:"cost"`   // tokens of work, estimated
	Answer      int            `msgpack:"answer"` // tokens of the answer, estimated; 0: not known
}

// Fingerprint is the same for a resend of the same request and, but for
// chance, different for any other: xxhash64 of workspace, service, method,
// path and body, each with its length.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, field := range []string{r.Workspace, r.Service, r.Method, r.Path} {
		writeLengthPrefixed(d, []byte(field))
	}
	writeLengthPrefixed(d, r.Body)
	return d.Sum64()
}

// writePart writes the length first, so that no two lists of parts run together
// into the same bytes.
func writeLengthPrefixed(d *xxhash.Digest, value []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(value)))
	_, _ = d.Write(length[:]) // a hash never fails
	_, _ = d.Write(value)
}
