package storage

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica"
)

// loader reads a data folder without changing it.
type loader struct {
	fs              FS
	dir             string
	replicaID       uint64
	state           replica.State
	entries         []replica.Entry
	lastFrameNumber uint64
	segments        []segment
	validFrames     []byte // of the last segment
	logOutdated     bool   // the log doesn't contain the snapshot's last entry
}

// segment is one file of the log.
type segment struct {
	number       uint64
	size         int64
	highestIndex uint64 // highest index of an entry written to it, replaced entries included
}

func segmentName(number uint64) string { return fmt.Sprintf("log-%016d.seg", number) }
func snapshotName(index uint64) string { return fmt.Sprintf("snapshot-%016d.snap", index) }

func (l *loader) load() error {
	segments, snapshots, err := l.listFiles()
	if err != nil {
		return err
	}
	if err := l.loadSnapshot(snapshots); err != nil {
		return err
	}
	for i, n := range segments {
		if err := l.loadSegment(n, i == len(segments)-1); err != nil {
			return err
		}
	}
	return l.dropCoveredEntries()
}

// listFiles returns the numbers of the segments and the indexes of the snapshots,
// ascending.
func (l *loader) listFiles() (segments, snapshots []uint64, err error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, "log-%d.seg", &n); err == nil && name == segmentName(n) {
			segments = append(segments, n)
		}
		if _, err := fmt.Sscanf(name, "snapshot-%d.snap", &n); err == nil && name == snapshotName(n) {
			snapshots = append(snapshots, n)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

// loadSnapshot reads the latest snapshot. A snapshot is synced before it is renamed
// to its final name, so an invalid one is a disk fault. An earlier snapshot cannot
// replace it, since segments after that one may have been deleted.
func (l *loader) loadSnapshot(indexes []uint64) error {
	if len(indexes) == 0 {
		return nil
	}
	name := snapshotName(indexes[len(indexes)-1])
	b, err := l.fs.ReadFile(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	_, payload, rest, ok := decodeFrame(b)
	if !ok || len(rest) > 0 {
		return &CorruptError{File: name, Reason: "invalid checksum or length"}
	}
	if err := msgpack.Unmarshal(payload, &l.state.Snapshot); err != nil {
		return &CorruptError{File: name, Reason: err.Error()}
	}
	return nil
}

func (l *loader) loadSegment(number uint64, isLast bool) error {
	name := segmentName(number)
	b, err := l.fs.ReadFile(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	s := segment{number: number}
	for rest := b; len(rest) > 0; {
		frameNumber, payload, next, ok := decodeFrame(rest)
		if !ok {
			if !isLast || containsLaterFrame(rest[1:], l.lastFrameNumber) {
				return &CorruptError{File: name, Offset: s.size, Reason: "invalid frame before valid ones"}
			}
			break
		}
		if err := l.replayFrame(&s, name, frameNumber, payload); err != nil {
			return err
		}
		s.size += int64(len(rest) - len(next))
		rest = next
	}
	l.segments = append(l.segments, s)
	l.validFrames = b[:s.size]
	return nil
}

func (l *loader) replayFrame(s *segment, name string, frameNumber uint64, payload []byte) error {
	var r record
	if err := msgpack.Unmarshal(payload, &r); err != nil {
		return &CorruptError{File: name, Offset: s.size, Reason: err.Error()}
	}
	if frameNumber <= l.lastFrameNumber {
		return &CorruptError{File: name, Offset: s.size, Reason: "frame number does not increase"}
	}
	l.lastFrameNumber = frameNumber
	if err := l.replayHeader(s, name, r.Header); err != nil {
		return err
	}
	if r.HardState != nil {
		l.state.HardState = *r.HardState
	}
	return l.replayEntries(s, name, r.Entries)
}

func (l *loader) replayHeader(s *segment, name string, h *segmentHeader) error {
	switch {
	case h == nil && s.size == 0:
		return &CorruptError{File: name, Reason: "first frame has no header"}
	case h == nil:
		return nil
	case h.Version != formatVersion:
		return &CorruptError{File: name, Reason: fmt.Sprintf("format version %d, want %d", h.Version, formatVersion)}
	case h.Replica != l.replicaID:
		return &ReplicaError{Folder: h.Replica, Want: l.replicaID}
	case h.ResetLog:
		l.entries = nil
	}
	return nil
}

// replayEntries appends entries to the log. It first drops the entries from
// entries[0].Index on, which a later leader has replaced.
func (l *loader) replayEntries(s *segment, name string, entries []replica.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	s.highestIndex = max(s.highestIndex, entries[len(entries)-1].Index)
	if len(l.entries) > 0 {
		base := l.entries[0].Index
		if first > base+uint64(len(l.entries)) {
			return &CorruptError{File: name, Offset: s.size, Reason: fmt.Sprintf("gap before entry %d", first)}
		}
		keepCount := max(first, base) - base
		l.entries = l.entries[:keepCount]
	}
	l.entries = append(l.entries, entries...)
	return nil
}

// dropCoveredEntries drops the entries that the snapshot covers. If the log doesn't
// contain the snapshot's last entry, the process crashed in InstallSnapshot, after
// saving the snapshot and before resetting the log; all entries are outdated then.
func (l *loader) dropCoveredEntries() error {
	meta := l.state.Snapshot.Meta
	if len(l.entries) == 0 {
		return nil
	}
	first := l.entries[0].Index
	if first > meta.Index+1 {
		return &CorruptError{File: segmentName(l.segments[0].number), Reason: fmt.Sprintf("entries from %d to %d are missing", meta.Index+1, first-1)}
	}
	if first == meta.Index+1 {
		l.state.Entries = l.entries
		return nil
	}
	offset := meta.Index - first
	if offset >= uint64(len(l.entries)) || l.entries[offset].Term != meta.Term {
		l.logOutdated = true
		return nil
	}
	l.state.Entries = l.entries[offset+1:]
	return nil
}
