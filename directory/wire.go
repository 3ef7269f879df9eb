package directory

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/instance"
)

// serverFields is the number of elements of an encoded Server.
const serverFields = 18

// EncodeMsgpack implements msgpack.CustomEncoder. A Server is encoded as an array, since a
// reply may hold thousands. Announcement.Load is left out, since it changes with each heartbeat
// and no receiver uses it.
func (s Server) EncodeMsgpack(enc *msgpack.Encoder) error {
	return firstError(
		enc.EncodeArrayLen(serverFields),
		enc.EncodeString(s.ID),
		enc.EncodeUint(s.Incarnation),
		enc.EncodeUint(s.Sequence),
		enc.EncodeString(s.Address),
		enc.EncodeString(s.Region),
		enc.EncodeString(s.Zone),
		enc.EncodeString(s.Class),
		enc.EncodeString(string(s.State)),
		enc.EncodeString(s.Model),
		enc.EncodeString(s.Version),
		encodeStrings(enc, s.Adapters),
		enc.EncodeString(s.Role),
		encodeStrings(enc, s.Services),
		enc.EncodeInt(int64(s.Slots)),
		enc.EncodeBool(s.ChecksFences),
		enc.EncodeInt(int64(s.LeavingIn)),
		enc.EncodeInt(s.HeartbeatAge.Milliseconds()),
		enc.EncodeUint(s.flags()),
	)
}

// flags of an encoded Server.
const (
	flagOverdue     = 1
	flagUnreachable = 2
	flagUnstated    = 4
)

func (s *Server) flags() uint64 {
	var flags uint64
	if s.Overdue {
		flags |= flagOverdue
	}
	if s.Unreachable {
		flags |= flagUnreachable
	}
	if s.Unstated {
		flags |= flagUnstated
	}
	return flags
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *Server) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != serverFields {
		return trace.BadParameter("record of a server has %d fields, want %d", n, serverFields)
	}
	d := fieldDecoder{dec: dec}
	*s = Server{Announcement: instance.Announcement{
		ID:           d.string(),
		Incarnation:  d.uint(),
		Sequence:     d.uint(),
		Address:      d.string(),
		Region:       d.string(),
		Zone:         d.string(),
		Class:        d.string(),
		State:        instance.State(d.string()),
		Model:        d.string(),
		Version:      d.string(),
		Adapters:     d.strings(),
		Role:         d.string(),
		Services:     d.strings(),
		Slots:        d.int(),
		ChecksFences: d.bool(),
		LeavingIn:    d.int(),
	}}
	s.HeartbeatAge = time.Duration(d.int()) * time.Millisecond
	flags := d.uint()
	s.Overdue, s.Unreachable, s.Unstated = flags&flagOverdue != 0, flags&flagUnreachable != 0, flags&flagUnstated != 0
	return d.err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func encodeStrings(enc *msgpack.Encoder, list []string) error {
	if err := enc.EncodeArrayLen(len(list)); err != nil {
		return err
	}
	for _, s := range list {
		if err := enc.EncodeString(s); err != nil {
			return err
		}
	}
	return nil
}

// fieldDecoder decodes the fields of an array one after the other and keeps the first error.
type fieldDecoder struct {
	dec *msgpack.Decoder
	err error
}

// decodeField decodes one field with decode, or returns the zero value after an error.
func decodeField[T any](d *fieldDecoder, decode func() (T, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, err := decode()
	if err != nil {
		d.err = err
		return zero
	}
	return v
}

func (d *fieldDecoder) string() string { return decodeField(d, d.dec.DecodeString) }
func (d *fieldDecoder) uint() uint64   { return decodeField(d, d.dec.DecodeUint64) }
func (d *fieldDecoder) int() int       { return decodeField(d, d.dec.DecodeInt) }
func (d *fieldDecoder) bool() bool     { return decodeField(d, d.dec.DecodeBool) }

func (d *fieldDecoder) strings() []string {
	n := decodeField(d, d.dec.DecodeArrayLen)
	var list []string
	for range n {
		if d.err != nil {
			return nil
		}
		list = append(list, d.string())
	}
	return list
}
