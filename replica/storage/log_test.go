package storage_test

import (
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/storage"
)

const testDir = "data"

func config() storage.Config {
	return storage.Config{Dir: testDir, Replica: 7, SegmentBytes: 400}
}

func open(t require.TestingT, fs storage.FS) *storage.Log {
	l, err := storage.Open(config(), fs)
	require.NoError(t, err)
	return l
}

func entries(first, last, term uint64) []replica.Entry {
	var out []replica.Entry
	for i := first; i <= last; i++ {
		out = append(out, replica.Entry{Index: i, Term: term, Kind: replica.KindApplication, Data: []byte{byte(i), byte(term)}})
	}
	return out
}

func hardState(term uint64) replica.HardState { return replica.HardState{Term: term, Vote: 1} }

// model is the expected state on disk.
type model struct {
	replica.State
}

func (m model) save(term uint64, add []replica.Entry) model {
	m.HardState = hardState(term)
	if len(add) > 0 {
		keepCount := add[0].Index - m.Snapshot.Meta.Index - 1
		m.Entries = slices.Concat(m.Entries[:keepCount], add)
	}
	return m
}

func (m model) snapshot(index, term uint64) model {
	if index <= m.LastIndex() {
		m.Entries = slices.Clone(m.Entries[index-m.Snapshot.Meta.Index:])
	} else {
		m.Entries = nil
	}
	m.Snapshot = replica.Snapshot{Meta: replica.SnapshotMeta{Index: index, Term: term}, Data: []byte("state")}
	return m
}

// applyRandomOperation runs a random operation on the log and returns the expected
// state after it.
func applyRandomOperation(t *rapid.T, l *storage.Log, m model, term uint64) (model, error) {
	base := m.Snapshot.Meta.Index
	switch rapid.IntRange(0, 6).Draw(t, "operation") {
	case 0:
		next := m.save(term, nil)
		return next, l.Save(next.HardState, nil)
	case 1:
		if len(m.Entries) == 0 {
			return m, nil
		}
		e := rapid.SampledFrom(m.Entries).Draw(t, "snapshot at")
		next := m.snapshot(e.Index, e.Term)
		return next, l.SaveSnapshot(next.Snapshot)
	case 2:
		next := m.snapshot(rapid.Uint64Range(base+1, m.LastIndex()+20).Draw(t, "install at"), term+1)
		next.Entries = nil
		next.HardState = hardState(term + 1)
		return next, l.InstallSnapshot(next.HardState, next.Snapshot)
	default:
		first := rapid.Uint64Range(base+1, m.LastIndex()+1).Draw(t, "first")
		add := entries(first, first+rapid.Uint64Range(0, 5).Draw(t, "more"), term)
		next := m.save(term, add)
		return next, l.Save(next.HardState, add)
	}
}

func equal(a, b replica.State) bool {
	return a.HardState == b.HardState && a.Snapshot.Meta.Index == b.Snapshot.Meta.Index &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y replica.Entry) bool {
			return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
		})
}

// Guards against the loss of acknowledged data when the process is killed during any
// file operation, or when a power loss removes any part of the unsynced data. The
// operation in progress must be present completely or not at all.
//
// Fails without any of these: the Sync in writeFrame; a SyncDir; the rename in
// replaceFile; the rewrite in reopenLastSegment; the logOutdated branch in open.
func TestStateSurvivesCrashAtAnyStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var m model
		for range rapid.IntRange(1, 6).Draw(t, "restarts") {
			before, after := runUntilCrash(t, fs, m)
			if rapid.Bool().Draw(t, "power loss") {
				fs.powerLoss(rng)
			} else {
				fs.kill()
			}
			l := open(t, fs)
			m = model{l.State()}
			require.NoError(t, l.Close())
			hardStateOnly := before // InstallSnapshot syncs the hard state first
			hardStateOnly.HardState = after.HardState
			if !equal(m.State, before.State) && !equal(m.State, after.State) && !equal(m.State, hardStateOnly.State) {
				t.Fatalf("found %+v\nwant %+v\nor %+v", m.State, before.State, after.State)
			}
		}
	})
}

// runUntilCrash opens the folder and runs random operations until the process crashes
// or the drawn number of operations is done. It returns the expected states before and
// after the last operation.
func runUntilCrash(t *rapid.T, fs *memFS, m model) (before, after model) {
	fs.crashAtStep = fs.steps + rapid.IntRange(1, 80).Draw(t, "crash after")
	l, err := storage.Open(config(), fs)
	if err != nil {
		require.ErrorIs(t, err, errCrashed)
		return m, m
	}
	l.State()
	for range rapid.IntRange(0, 20).Draw(t, "operations") {
		term := m.HardState.Term + rapid.Uint64Range(0, 1).Draw(t, "term")
		next, err := applyRandomOperation(t, l, m, term)
		if err != nil {
			require.ErrorIs(t, err, storage.ErrFailed)
			return m, next
		}
		m = next
	}
	return m, m
}

// Guards against continuing after a failed sync: the next sync would succeed although
// the data is not on disk, and a power loss would remove acknowledged entries. Every
// call must fail until a restart, which rewrites the data that it reads.
//
// Fails if recordFailure doesn't set l.failure, or reopenLastSegment doesn't rewrite.
func TestFailedSyncIsPermanent(t *testing.T) {
	fs := newMemFS()
	l := open(t, fs)
	require.NoError(t, l.Save(hardState(1), entries(1, 3, 1)))
	fs.failSync = true
	require.ErrorIs(t, l.Save(hardState(1), entries(4, 4, 1)), storage.ErrFailed)
	require.ErrorIs(t, l.Save(hardState(1), entries(4, 4, 1)), storage.ErrFailed)
	require.ErrorIs(t, l.SaveSnapshot(replica.Snapshot{}), storage.ErrFailed)
	require.ErrorIs(t, l.InstallSnapshot(hardState(1), replica.Snapshot{}), storage.ErrFailed)

	fs.kill()
	l = open(t, fs)
	found := l.State()
	require.NoError(t, l.Save(hardState(2), nil))
	fs.powerLoss(rand.New(rand.NewPCG(1, 1)))
	after := open(t, fs).State()
	require.Equal(t, found.Entries, after.Entries, "entries read after the restart were not synced")
}

// Guards against a replica that continues on a full disk, or that cannot start with
// its acknowledged entries once there is space again.
func TestFullDisk(t *testing.T) {
	fs := newMemFS()
	l := open(t, fs)
	require.NoError(t, l.Save(hardState(1), entries(1, 3, 1)))
	fs.freeBytes = 30
	err := l.Save(hardState(1), entries(4, 9, 1))
	require.ErrorIs(t, err, storage.ErrFailed)
	require.ErrorIs(t, err, errFull)

	fs.kill()
	require.Equal(t, entries(1, 3, 1), open(t, fs).State().Entries)
}

// Guards against truncating the log at a corrupt frame that valid frames follow, which
// would lose acknowledged entries: Open must return a CorruptError. Only a corrupt last
// frame cannot be distinguished from an incomplete one.
//
// Fails if containsLaterFrame always returns false.
func TestCorruptFrameBeforeValidFrames(t *testing.T) {
	fs := newMemFS()
	singleSegment := storage.Config{Dir: testDir, Replica: 7}
	l, err := storage.Open(singleSegment, fs)
	require.NoError(t, err)
	for i := uint64(1); i <= 6; i++ {
		require.NoError(t, l.Save(hardState(1), entries(i, i, 1)))
	}
	require.NoError(t, l.Close())
	file := fs.files[filepath.Join(testDir, "log-0000000000000001.seg")]
	last := len(file.cache) * 5 / 6
	for at := range last {
		file.cache[at] ^= 0x10
		_, err := storage.Open(singleSegment, fs)
		var corrupt *storage.CorruptError
		require.ErrorAs(t, err, &corrupt, "byte %d of %d", at, len(file.cache))
		file.cache[at] ^= 0x10
	}
	require.Len(t, open(t, fs).State().Entries, 6)
}

// Guards against two processes on one folder, and a process with another replica's
// folder: they would overwrite entries that the other one acknowledged.
func TestFolderLockedToOneProcessAndReplica(t *testing.T) {
	c := storage.Config{Dir: t.TempDir(), Replica: 1}
	l, err := storage.Open(c, storage.OS{})
	require.NoError(t, err)
	_, err = storage.Open(c, storage.OS{})
	require.ErrorIs(t, err, storage.ErrLocked)
	require.NoError(t, l.Close())

	c.Replica = 2
	_, err = storage.Open(c, storage.OS{})
	var wrongReplica *storage.ReplicaError
	require.ErrorAs(t, err, &wrongReplica)
}

// FuzzOpen opens a folder whose only segment has arbitrary content. Open must not
// panic.
func FuzzOpen(f *testing.F) {
	fs := newMemFS()
	l := open(f, fs)
	require.NoError(f, l.Save(hardState(1), entries(1, 3, 1)))
	for _, file := range fs.files {
		f.Add(file.cache)
		f.Add(file.cache[:len(file.cache)-1])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		fs := newMemFS()
		fs.files[filepath.Join(testDir, "log-0000000000000001.seg")] = &memFile{cache: b}
		if l, err := storage.Open(config(), fs); err == nil {
			require.NoError(t, l.Close())
		}
	})
}
