package storage

import (
	"errors"
	"fmt"
)

// The errors of this package.
var (
	// ErrFailed: this or an earlier write or sync failed. The process must stop.
	ErrFailed = errors.New("storage: write or sync failed, the process must stop")

	// ErrLocked: another process uses the data folder.
	ErrLocked = errors.New("storage: data folder is in use by another process")

	// ErrClosed: the Log was closed.
	ErrClosed = errors.New("storage: closed")
)

// CorruptError is returned if data that had been synced cannot be read. The replica
// must be removed from the group and added again, empty, with a new ID.
type CorruptError struct {
	File   string
	Offset int64 // of the invalid frame, in bytes
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s; replace this replica with one that has a new ID", e.File, e.Offset, e.Reason)
}

// ReplicaError is returned if the folder belongs to another replica.
type ReplicaError struct {
	Folder, Want uint64
}

func (e *ReplicaError) Error() string {
	return fmt.Sprintf("storage: data folder belongs to replica %d, not %d", e.Folder, e.Want)
}
