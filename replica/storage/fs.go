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

// FS is the file system that Log uses. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	// Create creates a file or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the base names of the files in dir.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock or returns ErrLocked. The lock is released by
	// Close or when the process ends.
	Lock(name string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll creates dir and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create creates a file or truncates an existing one.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append opens an existing file for appending.
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

// Rename renames a file and replaces an existing file of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs the directory dir.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock acquires an advisory lock (flock) on a file. It succeeds without a lock if the
// file system doesn't support flock: the lock only protects against starting two
// processes on one folder, and a replica must be able to start there.
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

// lockError converts an error of flock: to ErrLocked if another process holds the
// lock, and to nil if the file system doesn't support locks.
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
