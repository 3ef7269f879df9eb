package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/replica"
)

// quarantineTable is the part of the replicated state that contains the requests under which servers
// have crashed. Entries hold these records in memory: without the table, a request that was
// quarantined would get servers again from entries that have restarted.
type quarantineTable struct {
	records map[uint64]indexedRecord // by fingerprint
	index   uint64                   // log index of the last command applied
}

// indexedRecord is a record and the log index of the command that changed it last.
type indexedRecord struct {
	Record quarantine.Record `msgpack:"r"`
	Index  uint64            `msgpack:"i"`
}

// maxQuarantineReply is the number of records after which a reply ends, with those of one command.
const maxQuarantineReply = 512

// apply merges the records of the command at a log index, and drops what has expired.
func (t *quarantineTable) apply(c *api.QuarantineCommand, index uint64) {
	cfg := quarantine.DefaultConfig()
	now := time.UnixMilli(c.Now)
	t.index = index
	if t.records == nil {
		t.records = make(map[uint64]indexedRecord)
	}
	for _, r := range c.Records {
		known, exists := t.records[r.Fingerprint]
		switch {
		case !exists:
			t.records[r.Fingerprint] = indexedRecord{Record: r, Index: index}
		case !known.Record.Covers(r):
			merged := quarantine.Merge(known.Record, r)
			if r.Part { // one that most chats share is on each server that crashes, and its record never expires
				merged.Prune(&cfg, now)
			}
			t.records[r.Fingerprint] = indexedRecord{Record: merged, Index: index}
		}
	}
	maps.DeleteFunc(t.records, func(_ uint64, r indexedRecord) bool { return r.Record.Expired(&cfg, now) })
	t.dropOldest(cfg.MaxRecords)
}

// dropOldest drops the records that changed the longest ago until at most limit are left.
func (t *quarantineTable) dropOldest(limit int) {
	if len(t.records) <= limit {
		return
	}
	for _, r := range t.since(0)[:len(t.records)-limit] {
		delete(t.records, r.Record.Fingerprint)
	}
}

// since returns the records that have changed after a log index, by the index of their last change.
func (t *quarantineTable) since(index uint64) []indexedRecord {
	var changed []indexedRecord
	for _, r := range t.records {
		if r.Index > index {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b indexedRecord) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Record.Fingerprint, b.Record.Fingerprint))
	})
	return changed
}

// reply returns the records that have changed after a log index, or the first of them if there are
// many. It does not split those of one command.
func (t *quarantineTable) reply(known uint64) api.QuarantineReply {
	changed := t.since(known)
	out := api.QuarantineReply{Index: t.index}
	if end := endOfCommand(changed, maxQuarantineReply); end < len(changed) {
		changed = changed[:end]
		out.Index = changed[end-1].Index
	}
	for _, r := range changed {
		out.Records = append(out.Records, r.Record)
	}
	return out
}

// quarantineSnapshot is the encoding of a quarantineTable.
type quarantineSnapshot struct {
	Records []indexedRecord `msgpack:"r"` // as since returns them
	Index   uint64          `msgpack:"i"`
}

func (t *quarantineTable) snapshot() quarantineSnapshot {
	return quarantineSnapshot{Records: t.since(0), Index: t.index}
}

func (s *quarantineSnapshot) restore() quarantineTable {
	t := quarantineTable{records: make(map[uint64]indexedRecord, len(s.Records)), index: s.Index}
	for _, r := range s.Records {
		t.records[r.Record.Fingerprint] = r
	}
	return t
}

// endOfCommand returns the first position from n on at which the records of one command end.
func endOfCommand(changed []indexedRecord, n int) int {
	for n < len(changed) && changed[n].Index == changed[n-1].Index {
		n++
	}
	return n
}

func (m *Machine) applyQuarantine(e replica.Entry) (any, error) {
	var c api.QuarantineCommand
	err := msgpack.Unmarshal(e.Data, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quarantine.apply(&c, e.Index) // also if it can't be decoded: entries wait until this index is applied
	return struct{}{}, trace.Wrap(err, "step=apply quarantine records")
}

// Quarantine returns the records that have changed after a log index.
func (m *Machine) Quarantine(knownIndex uint64) api.QuarantineReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.quarantine.reply(knownIndex)
}

func (s *service) quarantine(_ context.Context, _ link.PeerInfo, r api.QuarantineRequest) (api.QuarantineReply, error) {
	return s.machine.Quarantine(r.KnownIndex), nil
}
