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

// identity is the identity of this replica, stored in its data folder beside the log.
//
// A replica that lost its disk must not vote under its old id: entries that it
// acknowledged are gone, and a majority that includes it could elect a leader without an
// acknowledged change. It requests a new id instead. Only the founders assign their own
// ids, at the first start of the whole system.
type identity struct {
	ID       uint64         `msgpack:"id"`
	Founders []registration `msgpack:"founders"` // empty for a replica that joined
}

// identityStore reads and writes the identity in a data folder.
type identityStore struct {
	fs  storage.FS
	dir string
}

func (s identityStore) path(name string) string { return filepath.Join(s.dir, name) }

// load returns the stored identity; ok is false if there is none.
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

// save writes the identity and returns once file and name are synced: if a power loss
// removed an identity under which this replica has voted, it would have to rejoin under
// a new id.
func (s identityStore) save(id identity) error {
	enc, err := msgpack.Marshal(&id)
	if err != nil {
		return trace.Wrap(err, "step=encode identity")
	}
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return trace.Wrap(err, "step=create data folder")
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
		return trace.Wrap(err, "step=rename identity")
	}
	return trace.Wrap(s.fs.SyncDir(s.dir), "step=sync data folder")
}

// discard removes the identity and then the log. The order matters: after a crash in
// between, the next start removes a log without an identity, while an identity without
// its log would let this replica vote without the entries that it acknowledged.
func (s identityStore) discard() error {
	if err := s.fs.Remove(s.path(identityFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.Wrap(err, "step=remove identity")
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return trace.Wrap(err, "step=sync data folder")
	}
	return s.discardLog()
}

// discardLog removes the files of the log.
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
