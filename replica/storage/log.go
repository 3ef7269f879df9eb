package storage

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/replica"
)

// DefaultSegmentBytes is the size from which a new segment is begun: 8 MiB.
const DefaultSegmentBytes = 8 << 20

const (
	lockName      = "LOCK"
	temporaryName = "new.tmp"
)

// Config is the settings of a Log.
type Config struct {
	Dir          string
	Replica      uint64 // id; a folder belongs to one replica for good
	SegmentBytes int64  // 0: DefaultSegmentBytes
}

// Log is a replica's state on disk. It is not safe for concurrent use.
type Log struct {
	cfg    Config
	fs     FS
	lock   io.Closer
	active File
	files  []segment // ascending, the last one is active
	number uint64    // of the latest frame
	hard   replica.HardState
	state  replica.State
	failed error
}

// Open locks the folder, reads it, and cuts off a frame that a crash left
// incomplete. Errors: ErrLocked, *CorruptError, *ReplicaError, or the file
// system's.
func Open(cfg Config, fs FS) (*Log, error) {
	cfg.SegmentBytes = cmp.Or(cfg.SegmentBytes, DefaultSegmentBytes)
	if err := fs.MkdirAll(cfg.Dir); err != nil {
		return nil, trace.Wrap(err, "open data folder %s", cfg.Dir)
	}
	lock, err := fs.Lock(filepath.Join(cfg.Dir, lockName))
	if err != nil {
		return nil, trace.Wrap(err, "lock data folder %s", cfg.Dir)
	}
	l := &Log{cfg: cfg, fs: fs, lock: lock}
	if err := l.open(); err != nil {
		return nil, trace.Wrap(errors.Join(err, lock.Close()), "open data folder %s", cfg.Dir)
	}
	return l, nil
}

func (l *Log) open() error {
	ld := &loader{fs: l.fs, dir: l.cfg.Dir, id: l.cfg.Replica}
	if err := ld.load(); err != nil {
		return err
	}
	l.state = ld.state
	l.hard = ld.state.HardState
	l.number = ld.number
	l.files = ld.files
	if len(l.files) == 0 {
		return l.beginSegment(false)
	}
	if err := l.reopen(ld.tail); err != nil {
		return err
	}
	if ld.stale {
		return l.beginSegment(true)
	}
	return nil
}

// reopen writes the last segment's good frames to disk once more and goes on
// with it. What was read came from the kernel's cache: a killed process may have
// left frames there that were never synced, and after a failed sync the cache may
// hold pages that the kernel has given up on and will not write again. Counting
// them as synced would acknowledge entries that the next power loss takes away.
func (l *Log) reopen(tail []byte) error {
	last := l.files[len(l.files)-1]
	if err := l.replaceFile(segmentName(last.number), tail); err != nil {
		return err
	}
	file, err := l.fs.Append(l.path(segmentName(last.number)))
	if err != nil {
		return err
	}
	l.active = file
	if last.size > 0 {
		return nil
	}
	// The crash came while the segment was begun.
	return l.writeHeader(false)
}

func (l *Log) path(name string) string { return filepath.Join(l.cfg.Dir, name) }

// State returns what the folder held when it was opened. The entries are
// released from the Log, so call it once.
func (l *Log) State() replica.State {
	state := l.state
	l.state = replica.State{}
	return state
}

// Save writes and syncs a hard state and entries. The first entry replaces all
// held from its index on.
func (l *Log) Save(hs replica.HardState, entries []replica.Entry) error {
	if l.failed != nil {
		return trace.Wrap(l.failed)
	}
	err := l.save(hs, entries)
	return l.check(err, "save")
}

func (l *Log) save(hs replica.HardState, entries []replica.Entry) error {
	l.hard = hs
	if err := l.write(record{HardState: &hs, Entries: entries}); err != nil {
		return err
	}
	last := &l.files[len(l.files)-1]
	if n := len(entries); n > 0 {
		last.highest = max(last.highest, entries[n-1].Index)
	}
	if last.size < l.cfg.SegmentBytes {
		return nil
	}
	return l.beginSegment(false)
}

// write appends one frame and syncs it.
func (l *Log) write(r record) error {
	frame, err := encodeFrame(l.number+1, r)
	if err != nil {
		return err
	}
	if _, err := l.active.Write(frame); err != nil {
		return err
	}
	if err := l.active.Sync(); err != nil {
		return err
	}
	l.number++
	l.files[len(l.files)-1].size += int64(len(frame))
	return nil
}

// beginSegment starts a new segment. The folder is synced too: without that the
// file's name could be gone after a crash, and with it synced entries.
func (l *Log) beginSegment(restart bool) error {
	number := uint64(1)
	if n := len(l.files); n > 0 {
		number = l.files[n-1].number + 1
	}
	file, err := l.fs.Create(l.path(segmentName(number)))
	if err != nil {
		return err
	}
	if l.active != nil {
		if err := l.active.Close(); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	l.active = file
	l.files = append(l.files, segment{number: number})
	if err := l.writeHeader(restart); err != nil {
		return err
	}
	return l.fs.SyncDir(l.cfg.Dir)
}

// writeHeader repeats the hard state, so that earlier segments can be deleted.
func (l *Log) writeHeader(restart bool) error {
	h := header{Version: formatVersion, Replica: l.cfg.Replica, Restart: restart}
	return l.write(record{Header: &h, HardState: &l.hard})
}

// SaveSnapshot keeps a snapshot of the replica's own state machine and deletes
// the segments that it makes needless.
func (l *Log) SaveSnapshot(s replica.Snapshot) error {
	if l.failed != nil {
		return trace.Wrap(l.failed)
	}
	err := l.saveSnapshot(s)
	return l.check(err, "save snapshot")
}

func (l *Log) saveSnapshot(s replica.Snapshot) error {
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	return l.deleteBefore(s.Meta.Index)
}

// Install keeps a snapshot that came from the leader and begins the log anew
// after it. A crash in between leaves a log without the snapshot's last entry,
// which Open takes as out of date.
func (l *Log) Install(hs replica.HardState, s replica.Snapshot) error {
	if l.failed != nil {
		return trace.Wrap(l.failed)
	}
	err := l.install(hs, s)
	return l.check(err, "install snapshot")
}

func (l *Log) install(hs replica.HardState, s replica.Snapshot) error {
	l.hard = hs
	if err := l.write(record{HardState: &hs}); err != nil {
		return err
	}
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	if err := l.beginSegment(true); err != nil {
		return err
	}
	return l.deleteBefore(s.Meta.Index)
}

func (l *Log) writeSnapshot(s replica.Snapshot) error {
	frame, err := encodeFrame(0, s)
	if err != nil {
		return err
	}
	return l.replaceFile(snapshotName(s.Meta.Index), frame)
}

// replaceFile makes a file appear under its name only when it is whole: written
// under another name, synced, renamed, and the folder synced. A crash at any step
// leaves the previous file.
func (l *Log) replaceFile(name string, b []byte) error {
	temporary := l.path(temporaryName)
	file, err := l.fs.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeAndClose(file, b); err != nil {
		return err
	}
	if err := l.fs.Rename(temporary, l.path(name)); err != nil {
		return err
	}
	return l.fs.SyncDir(l.cfg.Dir)
}

func writeAndClose(f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// deleteBefore deletes earlier snapshots and the segments whose entries are all
// covered. Segments go from the oldest on, so that no gap can arise. A name that
// a crash brings back does no harm.
func (l *Log) deleteBefore(index uint64) error {
	for len(l.files) > 1 && l.files[0].highest <= index {
		if err := l.fs.Remove(l.path(segmentName(l.files[0].number))); err != nil {
			return err
		}
		l.files = l.files[1:]
	}
	_, snapshots, err := (&loader{fs: l.fs, dir: l.cfg.Dir}).list()
	if err != nil {
		return err
	}
	for _, old := range snapshots {
		if old >= index {
			continue
		}
		if err := l.fs.Remove(l.path(snapshotName(old))); err != nil {
			return err
		}
	}
	return nil
}

// check makes a failure last, see the package's comment.
func (l *Log) check(err error, step string) error {
	if err == nil {
		return nil
	}
	l.failed = fmt.Errorf("%w: %s in %s: %w", ErrFailed, step, l.cfg.Dir, err)
	return trace.Wrap(l.failed)
}

// Close releases the folder. It syncs nothing: what was acknowledged is synced.
func (l *Log) Close() error {
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	err := errors.Join(l.active.Close(), l.lock.Close())
	l.failed = ErrClosed
	return trace.Wrap(err)
}
