package storage_test

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"savoryreel.example/savoryreel/replica/storage"
)

var (
	errCrashed = errors.New("process crashed")
	errSync    = errors.New("input/output error")
	errFull    = errors.New("no space left on device")
)

// memFile is a file with its content in the kernel's page cache and on disk.
type memFile struct {
	cache      []byte
	disk       []byte
	cleanBytes int // the first cleanBytes of cache are not written by the next sync
}

// memFS is an in-memory file system that loses unsynced data in powerLoss.
type memFS struct {
	files       map[string]*memFile // as the process sees them
	durable     map[string]*memFile // files whose names are synced
	steps       int                 // count of modifying calls
	crashAtStep int                 // modifying call from which on the process is dead; 0: never
	failSync    bool                // the next sync fails
	freeBytes   int                 // negative: no limit
	locked      bool
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, freeBytes: -1}
}

// step counts a modifying call and returns errCrashed if the process is dead.
func (m *memFS) step() error {
	m.steps++
	if m.crashAtStep > 0 && m.steps >= m.crashAtStep {
		return errCrashed
	}
	return nil
}

// kill ends the process: the page cache remains, the lock is released.
func (m *memFS) kill() {
	m.locked = false
	m.crashAtStep = 0
	m.failSync = false
	m.freeBytes = -1
}

// powerLoss keeps the synced data and a random prefix of each file's unsynced data, in
// which some bytes are zero, as if their page was lost.
func (m *memFS) powerLoss(rng *rand.Rand) {
	m.kill()
	m.files = map[string]*memFile{}
	for name, f := range m.durable {
		rest := slices.Clone(f.cache[min(len(f.disk), len(f.cache)):])
		rest = rest[:rng.IntN(len(rest)+1)]
		for i := range rest {
			if rng.IntN(8) == 0 {
				rest[i] = 0
			}
		}
		content := slices.Concat(f.disk, rest)
		m.files[name] = &memFile{cache: content, disk: slices.Clone(content), cleanBytes: len(content)}
	}
	m.durable = map[string]*memFile{}
	for name, f := range m.files {
		m.durable[name] = f
	}
}

type openFile struct {
	fs *memFS
	f  *memFile
}

func (o *openFile) Write(b []byte) (int, error) {
	if err := o.fs.step(); err != nil {
		half := b[:len(b)/2]
		o.f.cache = append(o.f.cache, half...)
		return len(half), err
	}
	if o.fs.freeBytes >= 0 && len(b) > o.fs.freeBytes {
		o.f.cache = append(o.f.cache, b[:o.fs.freeBytes]...)
		return o.fs.freeBytes, errFull
	}
	o.f.cache = append(o.f.cache, b...)
	return len(b), nil
}

// Sync writes the data after cleanBytes to disk. A failed Sync marks all data as
// clean, as kernels do, so the next one succeeds without writing it.
func (o *openFile) Sync() error {
	if err := o.fs.step(); err != nil {
		return err
	}
	if o.fs.failSync {
		o.fs.failSync = false
		o.f.cleanBytes = len(o.f.cache)
		return errSync
	}
	for len(o.f.disk) < o.f.cleanBytes {
		o.f.disk = append(o.f.disk, 0)
	}
	o.f.disk = append(o.f.disk, o.f.cache[o.f.cleanBytes:]...)
	o.f.cleanBytes = len(o.f.cache)
	return nil
}

func (o *openFile) Close() error { return nil }

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (storage.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.files[name] = f
	return &openFile{fs: m, f: f}, nil
}

func (m *memFS) Append(name string) (storage.File, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &openFile{fs: m, f: f}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.cache), nil
}

func (m *memFS) List(string) ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = map[string]*memFile{}
	for name, f := range m.files {
		m.durable[name] = f
	}
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, storage.ErrLocked
	}
	m.locked = true
	return m, nil
}

// Close releases the lock.
func (m *memFS) Close() error {
	m.locked = false
	return nil
}
