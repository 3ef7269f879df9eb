package quarantine

import "time"

// Query describes a request that is about to be sent to a backend server.
type Query struct {
	Now         time.Time
	Fingerprint uint64
	Server      Server // chosen by routing
	View        *View
	// Unreachable is set when the owner named by an earlier verdict did not answer within
	// its timeout.
	Unreachable bool
}

// Action is what the caller does with the request.
type Action uint8

// The actions.
const (
	ActionRun    Action = iota // call Set.Start, then send the request to Verdict.Server
	ActionPass                 // send Verdict.Record to the owner, merge the Record of its verdict, follow that verdict
	ActionWait                 // keep the request queued, or refuse it as not run with Retry-After
	ActionRefuse               // refuse the request immediately; it must not be retried
)

// String returns the action in lower case, for logs.
func (a Action) String() string {
	switch a {
	case ActionRun:
		return "run"
	case ActionPass:
		return "pass"
	case ActionWait:
		return "wait"
	case ActionRefuse:
		return "refuse"
	default:
		return "unknown"
	}
}

// Reason is the reason for an Action.
type Reason uint8

// The reasons.
const (
	ReasonNoSuspicion  Reason = iota // run: not a suspect
	ReasonKnownGood                  // run: has finished before
	ReasonFirstRuns                  // run: has not finished yet, and few servers run it
	ReasonTogether                   // run: on a server that already runs the same fingerprint
	ReasonTrial                      // run: on a server of the owner that runs no other suspect
	ReasonNotOwner                   // pass: another entry owns the fingerprint
	ReasonNoOwner                    // wait: the owner is unreachable, or there is none
	ReasonOnTrial                    // wait: another run of the fingerprint is open
	ReasonSettling                   // wait: Config.Settle has not passed since the crash
	ReasonNoFreeServer               // wait: all of the owner's servers run suspects
	ReasonQuarantined                // refuse: crashed two servers
)

// String returns the reason in lower case with underscores, for logs.
func (r Reason) String() string {
	names := [...]string{
		"no_suspicion", "known_good", "first_runs", "together", "trial",
		"not_owner", "no_owner", "on_trial", "settling", "no_free_server", "quarantined",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Verdict is the decision on a Query.
type Verdict struct {
	Action Action
	Reason Reason
	Server Server    // for ActionRun; may differ from Query.Server
	Grant  uint64    // for ActionRun: passed to Set.Start
	Owner  string    // for ActionPass
	Record Record    // for ActionPass: to send to the owner; with a Grant: to merge before Set.Start
	Until  time.Time // for ActionRefuse: when the quarantine ends
}
