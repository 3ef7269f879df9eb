package membership

import (
	"bytes"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/link"
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	kindPush    messageKind = iota + 1 // deltas along a ring; empty: a heartbeat
	kindReply                          // deltas outside the rings: the receiver expects no further ones
	kindJoin                           // the sender is new and requests the whole state
	kindPing                           // requests an ack
	kindAck                            // Target is alive
	kindPingReq                        // requests a ping of Target on behalf of the sender
	kindDigest                         // hashes of the sender's buckets
	kindItems                          // the sender's records in the buckets that differ
)

// message is one message between two members. All types in it are encoded as arrays
// of their fields: the order of the fields is the wire format.
type message struct {
	Kind    messageKind
	Nonce   uint32 // of a probe
	Target  string // id of the probed member
	Fulls   []fullDelta
	Status  []statusDelta
	Loads   []loadDelta
	Pull    []uint64 // refs of the full records that the sender requests
	Buckets []uint32 // hash of each bucket, in a digest
	Which   []uint8  // buckets that Items lists completely
	Items   []digestItem
}

// recordKind is the kind of a record.
type recordKind uint8

const (
	recordMember recordKind = iota + 1
	recordServer
	recordShared
)

// fullDelta is a whole record. Body is an encoded memberBody or serverBody, or the
// bytes of a shared record.
type fullDelta struct {
	Kind    recordKind
	ID      string
	Inc     uint64
	BodySeq uint64 // sequence of the last change of the body; version of a shared record
	Body    []byte
	Status  statusDelta
	Load    loadDelta
}

// statusDelta is the part of an instance that changes without its body. A receiver
// without a record of Ref pulls the full record.
type statusDelta struct {
	Ref     uint64 // hash of kind, id and incarnation
	Seq     uint64 // highest sequence at which it was alive
	Flags   uint8
	Suspect uint64 // highest sequence at which it was suspected
	Gone    uint64 // highest sequence at which it was marked gone
	HomeSeq uint64 // sequence at which Home became its home; backend servers only
	Home    uint64 // homeRef of the entry that receives its heartbeats
	Notice  uint32 // milliseconds until it stops, announced with leaving
}

const (
	flagLeaving = 1 << iota
	flagLeft
)

// loadDelta is a quantised load report. It is not part of the digest: the next report
// replaces a lost one.
type loadDelta struct {
	Ref       uint64
	Seq       uint64
	At        uint16 // time of the report in units of loadTimeUnit, low 16 bits
	Running   uint32
	Waiting   uint32
	Tokens    uint32 // per second
	Cache     uint8  // hundredths
	Catalogue uint64 // members only
}

// digestItem identifies the version of one record in a bucket.
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

// encode returns the msgpack encoding of v, with structs as arrays and compact
// integers, about half the size of an encoding with field names.
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
		return nil, trace.Wrap(err, "decompress gossip message")
	}
	var m message
	if err := link.Unmarshal(data, &m); err != nil {
		return nil, trace.Wrap(err, "decode gossip message")
	}
	if m.Kind < kindPush || m.Kind > kindItems {
		return nil, trace.BadParameter("gossip message of unknown kind %d", m.Kind)
	}
	for _, f := range m.Fulls {
		if f.ID == "" || f.Kind < recordMember || f.Kind > recordShared {
			return nil, trace.BadParameter("invalid gossip record %q of kind %d", f.ID, f.Kind)
		}
	}
	return &m, nil
}

// Upper estimates of encoded sizes with which a push is planned, without ids and
// bodies; encodeBounded checks the result.
const (
	messageOverheadBytes = 64
	statusBytes          = 48
	loadBytes            = 48
	fullOverheadBytes    = 140
	pullBytes            = 9
	itemBytes            = 24
)

// encodeBounded encodes a message and returns an error if it exceeds limit bytes.
func encodeBounded(m *message, limit int) ([]byte, error) {
	data, err := encode(m)
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, fmt.Errorf("gossip message of %d bytes exceeds %d bytes", len(data), limit)
	}
	return data, nil
}
