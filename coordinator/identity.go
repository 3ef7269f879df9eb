package coordinator

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica/storage"
)

const (
	identityFile = "identity"
	logFolder    = "log"
)

// identity is who this replica is, kept in its data folder beside the log.
//
// An instance that lost its disk comes back without it. It must not vote under
// its old id: it has forgotten which entries it acknowledged, and a majority
// that counted on it could elect a leader that lacks an acknowledged change. So
// it asks for a new id, and only a first start of the whole system lets a
// replica take one by itself.
type identity struct {
	ID       uint64         `msgpack:"id"`
	Founders []registration `msgpack:"founders"` // empty at a replica that joined
}

// identityStore reads and writes the identity of one data folder.
type identityStore struct {
	fs  storage.FS
	dir string
}

func (s identityStore) path(name string) string { return filepath.Join(s.dir, name) }

// load returns the identity; ok is false where there is none.
func (s identityStore) load() (id identity, ok bool, err error) {
	enc, err := s.fs.ReadFile(s.path(identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, trace.Wrap(err, "step=read identity")
	}
	if err := msgpack.Unmarshal(enc, &id); err != nil || id.ID == 0 {
		return identity{}, false, trace.BadParameter("identity in %s cannot be read", s.dir)
	}
	return id, true, nil
}

// save makes the identity last before it returns: file and name are synced. A
// replica that voted under an id that a power loss took back would come back as
// a stranger.
func (s identityStore) save(id identity) error {
	enc, err := msgpack.Marshal(&id)
	if err != nil {
		return trace.Wrap(err, "step=encode identity")
	}
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return trace.Wrap(err, "step=make data folder")
	}
	temporary := s.path(identityFile + ".tmp")
	f, err := s.fs.Create(temporary)
	if err != nil {
		return trace.Wrap(err, "step=create identity")
	}
	_, err = f.Write(enc)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return trace.Wrap(err, "step=write identity")
	}
	if err := s.fs.Rename(temporary, s.path(identityFile)); err != nil {
		return trace.Wrap(err, "step=name identity")
	}
	return trace.Wrap(s.fs.SyncDir(s.dir), "step=sync data folder")
}

// discard removes the identity and the log, the identity first: a log without
// one is removed at the next start, an identity without its log would let this
// replica vote having forgotten what it knew.
func (s identityStore) discard() error {
	if err := s.fs.Remove(s.path(identityFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.Wrap(err, "step=remove identity")
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return trace.Wrap(err, "step=sync data folder")
	}
	return s.discardLog()
}

func (s identityStore) discardLog() error {
	dir := s.path(logFolder)
	names, err := s.fs.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err, "step=list log")
	}
	for _, name := range names {
		if err := s.fs.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return trace.Wrap(err, "step=remove log file %s", name)
		}
	}
	return trace.Wrap(s.fs.SyncDir(dir), "step=sync log folder")
}
