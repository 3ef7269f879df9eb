package storage

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against ErrLocked on a file system that doesn't support locks: an operator
// would search for another process that doesn't exist.
func TestFileSystemWithoutLocks(t *testing.T) {
	for _, err := range []error{syscall.EBADF, syscall.ENOLCK, syscall.ENOSYS, syscall.EINVAL, syscall.ENOTSUP} {
		require.NoError(t, lockError(err), err)
	}
	require.ErrorIs(t, lockError(syscall.EWOULDBLOCK), ErrLocked)
	other := lockError(syscall.EIO)
	require.ErrorIs(t, other, syscall.EIO)
	require.False(t, errors.Is(other, ErrLocked))
}

// Guards against two processes that hold the lock of one folder.
func TestSecondLockIsRefused(t *testing.T) {
	name := filepath.Join(t.TempDir(), "LOCK")
	first, err := OS{}.Lock(name)
	require.NoError(t, err)
	_, err = OS{}.Lock(name)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, first.Close())
}
