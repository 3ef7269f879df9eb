package storage

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// The data folder lies on a file system without locks. An operator would read that
// another process uses the folder, look for it, and find none.
func TestFileSystemWithoutLocks(t *testing.T) {
	for _, err := range []error{syscall.EBADF, syscall.ENOLCK, syscall.ENOSYS, syscall.EINVAL, syscall.ENOTSUP} {
		require.NoError(t, lockError(err), err)
	}
	require.ErrorIs(t, lockError(syscall.EWOULDBLOCK), ErrLocked)
	other := lockError(syscall.EIO)
	require.ErrorIs(t, other, syscall.EIO)
	require.False(t, errors.Is(other, ErrLocked))
}

func TestSecondLockIsRefused(t *testing.T) {
	name := filepath.Join(t.TempDir(), "LOCK")
	first, err := OS{}.Lock(name)
	require.NoError(t, err)
	_, err = OS{}.Lock(name)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, first.Close())
}
