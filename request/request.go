// Package request defines a caller's request, its outcomes and problems, and the
// journal that buffers its answer.
package request

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/contract"
)

// idRandomBytes is the length of the random part of an ID. It cannot be guessed, so
// the ID also authorizes its holder to fetch the answer: most HTTP clients drop the
// Authorization header when they are redirected to another entry.
const idRandomBytes = 16

// ID identifies a request: the region that accepted it, "-", and 32 hex digits. It
// is unique over all entries and regions, and cannot be guessed.
type ID string

// NewID returns a new random ID for a region.
func NewID(region string) ID {
	var b [idRandomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return ID(region + "-" + hex.EncodeToString(b[:]))
}

// Outcome is the outcome of a request. Every request has exactly one.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered" // the caller has, or can fetch, the complete answer
	NotRun   Outcome = "not_run"  // no byte reached a backend server that could have run it
	Unknown  Outcome = "unknown"  // it may have run; this cannot be determined
)

// Request is an accepted request. It must not be modified after admission.
type Request struct {
	ID          ID             `msgpack:"id"`
	Workspace   string         `msgpack:"ws"`
	Service     string         `msgpack:"svc"`
	Class       contract.Class `msgpack:"class"`
	Method      string         `msgpack:"method"`
	Path        string         `msgpack:"path"` // with the query; of a plain call
	ContentType string         `msgpack:"ctype"`
	Accept      string         `msgpack:"accept"`
	Body        []byte         `msgpack:"body"`
	Stream      bool           `msgpack:"stream"`
	Key         string         `msgpack:"key"` // Idempotency-Key; empty: none
	Idempotent  bool           `msgpack:"idem"`
	Keep        bool           `msgpack:"keep"` // continue after the caller has disconnected
	Deadline    time.Time      `msgpack:"deadline"`
	Accepted    time.Time      `msgpack:"accepted"`
	Cost        int            `msgpack:"cost"`   // estimated tokens of work
	Answer      int            `msgpack:"answer"` // estimated tokens of the answer; 0: unknown
}

// Fingerprint returns the xxhash64 of workspace, service, method, path and body,
// each preceded by its length. A resend of a request has the same fingerprint; two
// different requests have the same one only by chance.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, field := range []string{r.Workspace, r.Service, r.Method, r.Path} {
		writeLengthPrefixed(d, []byte(field))
	}
	writeLengthPrefixed(d, r.Body)
	return d.Sum64()
}

// writeLengthPrefixed writes the length of value and then value, so that different
// lists of values never give the same bytes.
func writeLengthPrefixed(d *xxhash.Digest, value []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(value)))
	_, _ = d.Write(length[:]) // never returns an error
	_, _ = d.Write(value)
}
