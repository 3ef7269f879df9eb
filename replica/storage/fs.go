package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is what the storage needs of a file system. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file or empties an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the names, without the path, of the files in dir.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes names created, renamed or removed in dir last.
	SyncDir(dir string) error
	// Lock takes a lock that ends with the process at the latest.
	Lock(name string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll makes dir and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create makes or empties a file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens a file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile returns a file's content.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List returns the names of the files in dir.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename gives a file a new name, replacing a file of that name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs the folder itself.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock takes an advisory lock (flock) on a file. A file system that knows no such
// locks grants it: the lock only keeps an operator from starting two replicas on
// one folder, and a replica that would not start at all is worse.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := lockError(syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// lockError tells a lock that another process holds from one that the file system
// doesn't have.
func lockError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.EWOULDBLOCK):
		return errors.Join(ErrLocked, err)
	case errors.Is(err, syscall.EBADF), errors.Is(err, syscall.ENOLCK), errors.Is(err, syscall.ENOSYS),
		errors.Is(err, syscall.EINVAL), errors.Is(err, syscall.ENOTSUP):
		return nil
	default:
		return err
	}
}
