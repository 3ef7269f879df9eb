package storage

import (
	"errors"
	"fmt"
)

// The errors of this package.
var (
	// ErrFailed: a write or sync has failed, now or earlier. The process must stop.
	ErrFailed = errors.New("storage: failed, the process must stop")

	// ErrLocked: another process uses the data folder.
	ErrLocked = errors.New("storage: data folder is in use by another process")

	// ErrClosed: the storage was closed.
	ErrClosed = errors.New("storage: closed")
)

// CorruptError says that data which had been synced cannot be read back. The
// replica must be removed from the group and come back empty under a new id.
type CorruptError struct {
	File   string
	Offset int64 // of the bad frame, in bytes
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s; replace this replica by one with a new id", e.File, e.Offset, e.Reason)
}

// ReplicaError says that the folder belongs to another replica.
type ReplicaError struct {
	Folder, Want uint64
}

func (e *ReplicaError) Error() string {
	return fmt.Sprintf("storage: data folder belongs to replica %d, not %d", e.Folder, e.Want)
}
