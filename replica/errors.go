package replica

import "errors"

// The errors of Core. None of them leaves a trace in the log.
var (
	ErrNotLeader         = errors.New("replica: not the leader")
	ErrTransferring      = errors.New("replica: leadership is being transferred")
	ErrChangePending     = errors.New("replica: a membership change is not yet committed")
	ErrNotCaughtUp       = errors.New("replica: learner has not caught up")
	ErrBadChange         = errors.New("replica: membership change does not apply")
	ErrRemoveLeader      = errors.New("replica: leader cannot be removed, transfer leadership first")
	ErrNotVoter          = errors.New("replica: target is not another voter")
	ErrBadConfig         = errors.New("replica: bad settings")
	ErrCommittedConflict = errors.New("replica: leader's entry conflicts with a committed one")
	ErrBadMembership     = errors.New("replica: membership entry cannot be decoded")
)
