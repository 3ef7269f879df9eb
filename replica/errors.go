package replica

import "errors"

// Errors returned by Core. A call that returns one of them has not appended to the
// log.
var (
	ErrNotLeader         = errors.New("replica: not the leader")
	ErrTransferring      = errors.New("replica: leadership is being transferred")
	ErrChangePending     = errors.New("replica: a membership change or the first entry of the term is not yet committed")
	ErrNotCaughtUp       = errors.New("replica: learner has not caught up")
	ErrBadChange         = errors.New("replica: invalid membership change")
	ErrRemoveLeader      = errors.New("replica: leader cannot be removed, transfer leadership first")
	ErrNotVoter          = errors.New("replica: transfer target is not another voter")
	ErrBadConfig         = errors.New("replica: invalid configuration")
	ErrCommittedConflict = errors.New("replica: entry from the leader conflicts with a committed entry")
	ErrBadMembership     = errors.New("replica: membership entry cannot be decoded")
)
