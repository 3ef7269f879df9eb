package quarantine

import "time"

// Query is a request that is about to be sent to a backend server.
type Query struct {
	Now         time.Time
	Fingerprint uint64
	Server      Server // where routing would send it
	View        *View
	// Unreachable says that the owner named by an earlier verdict could not be
	// asked in time.
	Unreachable bool
}

// Action is what to do with the request.
type Action uint8

// The actions.
const (
	ActionRun    Action = iota // on Verdict.Server: Set.Start, then send it
	ActionPass                 // send Verdict.Record to the owner, merge its verdict's record, obey its verdict
	ActionWait                 // not now: keep it queued, or refuse it as not run with Retry-After
	ActionRefuse               // finally, at once
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

// Reason says why.
type Reason uint8

// The reasons.
const (
	ReasonNoSuspicion  Reason = iota // run: nothing speaks against it
	ReasonKnownGood                  // run: it has finished before
	ReasonFirstRuns                  // run: one of the few servers it may run on until one run has finished
	ReasonTogether                   // run: on a server that already runs the same fingerprint
	ReasonTrial                      // run: alone among suspects, on a server of the owner's
	ReasonNotOwner                   // pass
	ReasonNoOwner                    // wait: the owner cannot be asked, or there is none
	ReasonOnTrial                    // wait: another run of the fingerprint is open
	ReasonSettling                   // wait: the crash is too recent for all to have heard of it
	ReasonNoFreeServer               // wait: the owner's servers all run suspects
	ReasonQuarantined                // refuse: it crashed two servers
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

// Verdict is the decision on an Ask.
type Verdict struct {
	Action Action
	Reason Reason
	Server Server    // with ActionRun; may differ from the one asked for
	Grant  uint64    // with ActionRun, to hand to Set.Start
	Owner  string    // with ActionPass
	Record Record    // with ActionPass what the owner must know, with a grant what the runner must
	Until  time.Time // with ActionRefuse: when the quarantine ends
}
