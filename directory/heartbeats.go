package directory

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/instance"
)

// Key identifies one incarnation of a server or of an entry in compact messages.
type Key uint64

// keyOf returns the key of an incarnation of the server or entry with this id or name.
func keyOf(id string, incarnation uint64) Key {
	return Key(xxhash.Sum64String(id) ^ incarnation*hashMultiplier)
}

// hashMultiplier spreads incarnations, which often are successive numbers, over all bits.
const hashMultiplier = 0x9e3779b97f4a7c15

// Heartbeat is a heartbeat without a change of the record, as control replicas forward it to
// each other.
type Heartbeat struct {
	Key      Key
	Sequence uint64
	Age      time.Duration // in whole milliseconds on the wire
}

// Heartbeats is encoded as one byte string. Each of hundreds of entries and thousands of
// servers has a heartbeat about once a second, which every replica forwards to every other.
type Heartbeats []Heartbeat

// EncodeMsgpack implements msgpack.CustomEncoder.
func (h Heartbeats) EncodeMsgpack(enc *msgpack.Encoder) error {
	var buf []byte
	for _, beat := range h {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(beat.Key))
		buf = binary.AppendUvarint(buf, beat.Sequence)
		buf = binary.AppendUvarint(buf, uint64(max(beat.Age, 0)/time.Millisecond))
	}
	return enc.EncodeBytes(buf)
}

// DecodeMsgpack implements msgpack.CustomDecoder. A truncated or oversized element is an error.
func (h *Heartbeats) DecodeMsgpack(dec *msgpack.Decoder) error {
	buf, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*h = nil
	for len(buf) > 0 {
		var beat Heartbeat
		if buf, err = beat.decode(buf); err != nil {
			return err
		}
		*h = append(*h, beat)
	}
	return nil
}

// maxHeartbeatAge bounds the age that a heartbeat may state, so that it fits a time.Duration.
const maxHeartbeatAge = 24 * time.Hour

// decode reads one heartbeat from buf and returns the rest.
func (h *Heartbeat) decode(buf []byte) ([]byte, error) {
	if len(buf) < 8 {
		return nil, trace.BadParameter("heartbeat of %d bytes is truncated", len(buf))
	}
	h.Key = Key(binary.LittleEndian.Uint64(buf))
	buf = buf[8:]
	sequence, n := binary.Uvarint(buf)
	if n <= 0 {
		return nil, trace.BadParameter("sequence number of a heartbeat is malformed")
	}
	buf = buf[n:]
	age, n := binary.Uvarint(buf)
	if n <= 0 || age > uint64(maxHeartbeatAge/time.Millisecond) {
		return nil, trace.BadParameter("age of a heartbeat is malformed")
	}
	h.Sequence, h.Age = sequence, time.Duration(age)*time.Millisecond
	return buf[n:], nil
}

// HeartbeatsSince returns the heartbeats after seq of servers and entries whose records did
// not change since, as far as this process received them itself or from one of the replicas
// in relayed. Replicas forward only their own heartbeats, except to a replica that does not
// reach the one that received them.
func (s *Store) HeartbeatsSince(seq uint64, relayed []string, now time.Time) (servers, entries Heartbeats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forwards := func(from string) bool { return from == "" || slices.Contains(relayed, from) }
	for e := s.updates.serverHeartbeats.Back(); e != nil; e = e.Prev() {
		stored := e.Value.(*storedServer)
		if stored.heartbeatSeq <= seq {
			break
		}
		if stored.changeSeq <= seq && forwards(stored.heardFrom) {
			servers = append(servers, Heartbeat{stored.key, stored.Sequence, now.Sub(stored.lastHeartbeat)})
		}
	}
	for e := s.updates.entryHeartbeats.Back(); e != nil; e = e.Prev() {
		stored := e.Value.(*storedEntry)
		if stored.heartbeatSeq <= seq {
			break
		}
		if stored.changeSeq <= seq && forwards(stored.heardFrom) {
			entries = append(entries, Heartbeat{stored.key, stored.Sequence, now.Sub(stored.lastHeartbeat)})
		}
	}
	return servers, entries
}

// MergeHeartbeats records heartbeats that a replica has forwarded. It ignores those of
// incarnations that this process does not know: their records arrive as changes. It reports
// whether the state of a server changed.
func (s *Store) MergeHeartbeats(from Origin, servers, entries Heartbeats, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, beat := range servers {
		if stored := s.serversByKey[beat.Key]; stored != nil {
			changed = s.mergeHeartbeat(from, stored, beat, now) || changed
		}
	}
	for _, beat := range entries {
		stored := s.entriesByKey[beat.Key]
		if at := now.Add(-beat.Age); stored != nil && stored.Sequence == beat.Sequence && at.After(stored.lastHeartbeat) {
			stored.lastHeartbeat, stored.heardFrom = at, from.Replica
			s.recordEntryHeartbeat(stored)
		}
	}
	return changed
}

// mergeHeartbeat applies a heartbeat of a known server and reports whether the server became
// reachable. The caller holds s.mu.
func (s *Store) mergeHeartbeat(from Origin, stored *storedServer, beat Heartbeat, now time.Time) bool {
	if stored.State == instance.StateGone || beat.Sequence < stored.Sequence {
		return false
	}
	at := now.Add(-beat.Age)
	if beat.Sequence == stored.Sequence && !at.After(stored.lastHeartbeat) {
		return false
	}
	stored.Sequence, stored.heardFrom = beat.Sequence, from.Replica
	if at.After(stored.lastHeartbeat) {
		stored.lastHeartbeat = at
	}
	s.recordHeartbeat(stored)
	return s.observesHeartbeats() && s.updateOverdue(stored, now, false)
}
