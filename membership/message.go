package membership

import (
	"bytes"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/link"
)

// messageKind says what a message wants of its receiver.
type messageKind uint8

const (
	kindPush    messageKind = iota + 1 // take these deltas in; empty: a heartbeat
	kindReply                          // as a push, but outside the rings: expect no more of them
	kindJoin                           // the sender is new: answer with everything
	kindPing                           // answer with an ack
	kindAck                            // Target is alive
	kindPingReq                        // ping Target for the sender
	kindDigest                         // compare these bucket hashes with yours
	kindItems                          // what the sender holds in some buckets
)

// message is one message between two members. All types in it go over the wire
// as arrays of their fields: the order of the fields is the format.
type message struct {
	Kind    messageKind
	Nonce   uint32 // of a probe
	Target  string // id that a probe is about
	Fulls   []fullDelta
	Status  []statusDelta
	Loads   []loadDelta
	Pull    []uint64 // refs of which the sender wants the full record
	Buckets []uint32 // of a digest
	Which   []uint8  // bucket numbers that Items covers
	Items   []digestItem
}

// recordKind tells what a record describes.
type recordKind uint8

const (
	recordMember recordKind = iota + 1
	recordServer
	recordShared
)

// fullDelta is a whole record. Body is a memberBody, a serverBody or the bytes
// of a shared record.
type fullDelta struct {
	Kind    recordKind
	ID      string
	Inc     uint64
	BodySeq uint64 // sequence with which the body last changed; version of a shared record
	Body    []byte
	Status  statusDelta
	Load    loadDelta
}

// statusDelta is what changes about an instance without a change of its body. A
// receiver that doesn't know Ref asks for the full record.
type statusDelta struct {
	Ref     uint64 // hash of kind, id and incarnation
	Seq     uint64 // highest sequence at which it is known to have been alive
	Flags   uint8
	Suspect uint64 // highest sequence at which it was suspected
	Gone    uint64 // highest sequence at which it was counted as gone
	HomeSeq uint64 // sequence at which Home took it over; backend servers only
	Home    uint64 // hash of the id of the entry that hears it
	Notice  uint32 // milliseconds of notice that came with leaving
}

const (
	flagLeaving = 1 << iota
	flagLeft
)

// loadDelta is a load report, quantised. It is not part of the digest: a lost
// one is made good by the next.
type loadDelta struct {
	Ref       uint64
	Seq       uint64
	At        uint16 // time of the report in units of loadTimeUnit, low 16 bits
	Running   uint32
	Waiting   uint32
	Tokens    uint32 // a second
	Cache     uint8  // hundredths
	Catalogue uint64 // members only
}

// digestItem names one record in a bucket.
type digestItem struct {
	Ref     uint64
	Hash    uint32
	BodySeq uint64
}

// memberBody is the part of a member that changes rarely.
type memberBody struct {
	Role, Region, Zone, Caller, Link string
}

// serverBody is the part of an announcement that changes rarely.
type serverBody struct {
	Address, Region, Zone, Class string
	Model, Version, Role         string
	Adapters, Services           []string
	Slots                        int
	ChecksFences                 bool
}

// encode returns the msgpack form of v, structs as arrays and integers as short
// as they go: with field names, messages would be about twice the size.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

func decodeMessage(data []byte) (*message, error) {
	data, err := decompress(data)
	if err != nil {
		return nil, trace.Wrap(err, "unpack gossip")
	}
	var m message
	if err := link.Unmarshal(data, &m); err != nil {
		return nil, trace.Wrap(err, "decode gossip")
	}
	if m.Kind < kindPush || m.Kind > kindItems {
		return nil, trace.BadParameter("gossip of unknown kind %d", m.Kind)
	}
	for _, f := range m.Fulls {
		if f.ID == "" || f.Kind < recordMember || f.Kind > recordShared {
			return nil, trace.BadParameter("gossip record %q of kind %d", f.ID, f.Kind)
		}
	}
	return &m, nil
}

// Sizes in bytes that a push is planned with, above what the parts take on the
// wire; encodeBounded checks the result.
const (
	messageOverheadBytes = 64
	statusBytes          = 48
	loadBytes            = 48
	fullOverheadBytes    = 140
	pullBytes            = 9
	itemBytes            = 24
)

// encodeBounded encodes a message and refuses one over the bound.
func encodeBounded(m *message, limit int) ([]byte, error) {
	data, err := encode(m)
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("gossip of %d bytes, bound %d", len(data), limit)
	}
	return data, nil
}
