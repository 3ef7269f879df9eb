package host

import (
	"errors"
	"fmt"
)

// The errors of Host, for errors.Is and errors.As.
var (
	// ErrOutcomeUnknown: the proposal was appended, but leadership was lost, the
	// context ended or the host stopped before it was committed. It may be committed
	// later.
	ErrOutcomeUnknown = errors.New("host: outcome unknown, the proposal may still be committed")

	// ErrStopped: the host has stopped; nothing was appended.
	ErrStopped = errors.New("host: stopped")

	// ErrBusy: a queue or the limit on pending proposals is full; nothing was appended.
	ErrBusy = errors.New("host: too many requests are waiting")

	// ErrTooLarge: the data is longer than Config.MaxEntryBytes; nothing was appended.
	ErrTooLarge = errors.New("host: entry is too large")

	// ErrReservedKind: the kind is below replica.KindApplication; nothing was appended.
	ErrReservedKind = errors.New("host: entry kind is reserved")

	// ErrTransferFailed: another replica than the target leads, possibly still this
	// one, or a newer transfer has replaced this one.
	ErrTransferFailed = errors.New("host: leadership was not transferred")
)

// NotLeaderError is returned if this replica is not the leader. Nothing was
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
