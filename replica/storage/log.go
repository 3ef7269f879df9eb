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

// DefaultSegmentBytes is the default size from which a new segment is started.
const DefaultSegmentBytes = 8 << 20

const (
	lockName      = "LOCK"
	temporaryName = "new.tmp"
)

// Config holds the settings of a Log.
type Config struct {
	Dir          string
	Replica      uint64 // ID; it is stored in the folder, and Open refuses another one
	SegmentBytes int64  // 0: DefaultSegmentBytes
}

// Log stores a replica's hard state, entries and snapshot on disk. It is not safe for
// concurrent use.
type Log struct {
	cfg             Config
	fs              FS
	lock            io.Closer
	activeFile      File
	segments        []segment // in ascending order; the last one is activeFile
	lastFrameNumber uint64    // of the latest frame
	hardState       replica.HardState
	loadedState     replica.State
	failure         error
}

// Open locks and reads the data folder, and removes an incomplete last frame. The
// folder is created if it doesn't exist. Errors: ErrLocked, *CorruptError,
// *ReplicaError, or the file system's.
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
	ld := &loader{fs: l.fs, dir: l.cfg.Dir, replicaID: l.cfg.Replica}
	if err := ld.load(); err != nil {
		return err
	}
	l.loadedState = ld.state
	l.hardState = ld.state.HardState
	l.lastFrameNumber = ld.lastFrameNumber
	l.segments = ld.segments
	if len(l.segments) == 0 {
		return l.startSegment(false)
	}
	if err := l.reopenLastSegment(ld.validFrames); err != nil {
		return err
	}
	if ld.logOutdated {
		return l.startSegment(true)
	}
	return nil
}

// reopenLastSegment rewrites the last segment with its valid frames and opens it for
// appending. The frames were read from the kernel's page cache: a killed process may
// have left frames there that were never synced, and after a failed sync the cache
// may contain pages that the kernel will not write again. Without the rewrite, a
// power loss could remove entries that were read here and then acknowledged.
func (l *Log) reopenLastSegment(validFrames []byte) error {
	last := l.segments[len(l.segments)-1]
	if err := l.replaceFile(segmentName(last.number), validFrames); err != nil {
		return err
	}
	file, err := l.fs.Append(l.path(segmentName(last.number)))
	if err != nil {
		return err
	}
	l.activeFile = file
	if last.size > 0 {
		return nil
	}
	// The process crashed before the segment's header was written.
	return l.writeSegmentHeader(false)
}

func (l *Log) path(name string) string { return filepath.Join(l.cfg.Dir, name) }

// State returns the state that Open read. It releases the state from the Log, so
// later calls return an empty one.
func (l *Log) State() replica.State {
	state := l.loadedState
	l.loadedState = replica.State{}
	return state
}

// Save writes and syncs a hard state and entries. Stored entries from the index of
// the first one on are replaced.
func (l *Log) Save(hs replica.HardState, entries []replica.Entry) error {
	if l.failure != nil {
		return trace.Wrap(l.failure)
	}
	err := l.save(hs, entries)
	return l.recordFailure(err, "save")
}

func (l *Log) save(hs replica.HardState, entries []replica.Entry) error {
	l.hardState = hs
	if err := l.writeFrame(record{HardState: &hs, Entries: entries}); err != nil {
		return err
	}
	last := &l.segments[len(l.segments)-1]
	if n := len(entries); n > 0 {
		last.highestIndex = max(last.highestIndex, entries[n-1].Index)
	}
	if last.size < l.cfg.SegmentBytes {
		return nil
	}
	return l.startSegment(false)
}

// writeFrame appends one frame to the active segment and syncs it.
func (l *Log) writeFrame(r record) error {
	frame, err := encodeFrame(l.lastFrameNumber+1, r)
	if err != nil {
		return err
	}
	if _, err := l.activeFile.Write(frame); err != nil {
		return err
	}
	if err := l.activeFile.Sync(); err != nil {
		return err
	}
	l.lastFrameNumber++
	l.segments[len(l.segments)-1].size += int64(len(frame))
	return nil
}

// startSegment starts a new segment. It also syncs the folder: otherwise the file's
// directory entry, and with it synced entries, could be missing after a crash.
func (l *Log) startSegment(resetLog bool) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	file, err := l.fs.Create(l.path(segmentName(number)))
	if err != nil {
		return err
	}
	if l.activeFile != nil {
		if err := l.activeFile.Close(); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	l.activeFile = file
	l.segments = append(l.segments, segment{number: number})
	if err := l.writeSegmentHeader(resetLog); err != nil {
		return err
	}
	return l.fs.SyncDir(l.cfg.Dir)
}

// writeSegmentHeader writes the first frame of a segment. It includes the hard state,
// so that earlier segments can be deleted.
func (l *Log) writeSegmentHeader(resetLog bool) error {
	h := segmentHeader{Version: formatVersion, Replica: l.cfg.Replica, ResetLog: resetLog}
	return l.writeFrame(record{Header: &h, HardState: &l.hardState})
}

// SaveSnapshot saves a snapshot of the replica's own state machine and deletes the
// segments and snapshots that it covers.
func (l *Log) SaveSnapshot(s replica.Snapshot) error {
	if l.failure != nil {
		return trace.Wrap(l.failure)
	}
	err := l.saveSnapshot(s)
	return l.recordFailure(err, "save snapshot")
}

func (l *Log) saveSnapshot(s replica.Snapshot) error {
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	return l.deleteCoveredFiles(s.Meta.Index)
}

// InstallSnapshot saves a snapshot received from the leader and resets the log to
// continue after it. If the process crashes in between, the log doesn't contain the
// snapshot's last entry, and Open discards its entries.
func (l *Log) InstallSnapshot(hs replica.HardState, s replica.Snapshot) error {
	if l.failure != nil {
		return trace.Wrap(l.failure)
	}
	err := l.installSnapshot(hs, s)
	return l.recordFailure(err, "install snapshot")
}

func (l *Log) installSnapshot(hs replica.HardState, s replica.Snapshot) error {
	l.hardState = hs
	if err := l.writeFrame(record{HardState: &hs}); err != nil {
		return err
	}
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	if err := l.startSegment(true); err != nil {
		return err
	}
	return l.deleteCoveredFiles(s.Meta.Index)
}

func (l *Log) writeSnapshot(s replica.Snapshot) error {
	frame, err := encodeFrame(0, s)
	if err != nil {
		return err
	}
	return l.replaceFile(snapshotName(s.Meta.Index), frame)
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file,
// renames it, and syncs the folder. After a crash at any step the file has either its
// old or its new content.
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

// deleteCoveredFiles deletes the snapshots before index and the segments whose
// entries are all at or before index. It deletes the oldest segments first, so that
// the log has no gap. A deleted file that reappears after a crash is harmless.
func (l *Log) deleteCoveredFiles(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].highestIndex <= index {
		if err := l.fs.Remove(l.path(segmentName(l.segments[0].number))); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	_, snapshots, err := (&loader{fs: l.fs, dir: l.cfg.Dir}).listFiles()
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

// recordFailure makes every later call fail if err is not nil; see the package
// comment.
func (l *Log) recordFailure(err error, step string) error {
	if err == nil {
		return nil
	}
	l.failure = fmt.Errorf("%w: %s in %s: %w", ErrFailed, step, l.cfg.Dir, err)
	return trace.Wrap(l.failure)
}

// Close closes the active segment and releases the lock. It doesn't sync: all
// acknowledged data is synced already.
func (l *Log) Close() error {
	if errors.Is(l.failure, ErrClosed) {
		return nil
	}
	err := errors.Join(l.activeFile.Close(), l.lock.Close())
	l.failure = ErrClosed
	return trace.Wrap(err)
}
