package host

import (
	"errors"
	"fmt"
)

// The errors of Host. Test with errors.Is and errors.As.
var (
	// ErrUnknown: the proposal was appended, and it is not known whether it will be
	// committed: leadership was lost, the context ended or the host stopped.
	ErrOutcomeUnknown = errors.New("host: outcome unknown, the proposal may yet be committed")

	// ErrStopped: the host has stopped; nothing was appended.
	ErrStopped = errors.New("host: stopped")

	// ErrBusy: too many proposals are waiting; nothing was appended.
	ErrBusy = errors.New("host: too many proposals are waiting")

	// ErrTooLarge: the data is longer than Config.MaxEntryBytes; nothing was appended.
	ErrTooLarge = errors.New("host: entry is too large")

	// ErrReservedKind: the kind belongs to package replica; nothing was appended.
	ErrReservedKind = errors.New("host: kind is reserved")

	// ErrTransferFailed: this replica is still the leader, or the target never led.
	ErrTransferFailed = errors.New("host: leadership was not transferred")
)

// NotLeaderError says that this replica is not the leader, and that nothing was
// appended or read.
type NotLeaderError struct {
	Leader uint64 // 0: unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "host: not the leader, leader unknown"
	}
	return fmt.Sprintf("host: not the leader, replica %d is", e.Leader)
}
