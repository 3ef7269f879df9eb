package directory

import (
	"bytes"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// PackedServers is a sequence of encoded records of servers. A record is encoded once for all
// entries to which it is sent: while a site starts, or thousands of servers are replaced, a
// replica sends each record to dozens of entries, and little else costs as much.
type PackedServers []byte

// Unpack decodes the records.
func (p PackedServers) Unpack() ([]Server, error) {
	var servers []Server
	r := bytes.NewReader(p)
	dec := msgpack.NewDecoder(r)
	for r.Len() > 0 {
		var rec Server
		if err := rec.DecodeMsgpack(dec); err != nil {
			return nil, trace.Wrap(err, "step=decode record %d", len(servers))
		}
		servers = append(servers, rec)
	}
	return servers, nil
}

// EntryChanges is the update that the source replica of an entry sends: the records that
// changed after a sequence number, and the statuses of servers of which only the reachability
// changed. Seq is the number to pass to the next call.
type EntryChanges struct {
	Seq      uint64
	Servers  PackedServers
	Statuses Statuses
	Entries  []Entry
}

// EntryChangesSince returns the changes after seq for an entry.
func (s *Store) EntryChangesSince(seq uint64, now time.Time) (EntryChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := EntryChanges{Seq: s.lastSeq}
	for e := s.updates.serverChanges.Back(); e != nil; e = e.Prev() {
		stored := e.Value.(*storedServer)
		if stored.changeSeq <= seq {
			break
		}
		if stored.recordSeq <= seq {
			out.Statuses = out.Statuses.append(stored.status())
			continue
		}
		packed, err := stored.pack()
		if err != nil {
			return out, trace.Wrap(err, "step=encode record server=%s", stored.ID)
		}
		out.Servers = append(out.Servers, packed...)
	}
	for e := s.updates.entryChanges.Back(); e != nil && e.Value.(*storedEntry).changeSeq > seq; e = e.Prev() {
		out.Entries = append(out.Entries, e.Value.(*storedEntry).record(now))
	}
	return out, nil
}

// pack returns the encoded record. HeartbeatAge is 0, since it changes with time and entries
// do not need it.
func (r *storedServer) pack() ([]byte, error) {
	if r.packed != nil && r.packedSeq == r.changeSeq {
		return r.packed, nil
	}
	data, err := msgpack.Marshal(r.Server)
	if err != nil {
		return nil, err
	}
	r.packed, r.packedSeq = data, r.changeSeq
	return data, nil
}

func (r *storedServer) status() Status {
	return Status{r.key, r.State, r.Overdue, r.Unreachable}
}
