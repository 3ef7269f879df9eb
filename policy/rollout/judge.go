package rollout

import "time"

// The timing of a rollout before its deadline.
const (
	// startTime is the time that the servers of a candidate typically need until they serve.
	startTime = 4 * time.Second
	// minLead and maxLead bound the time from the beginning of Shifting to the deadline.
	// maxLead outlasts 3 s without a leader.
	minLead = 1500 * time.Millisecond
	maxLead = 4 * time.Second
	// endMargin is the part of the lead that is kept for the commit of the last phase.
	endMargin = 500 * time.Millisecond
)

// lead returns the time from the planned beginning of Shifting to the deadline.
func lead(duration time.Duration) time.Duration {
	l := min(max((duration-startTime)*3/8, minLead), maxLead)
	return min(l, duration/4)
}

// drainTime returns how long Shifting lasts, in which answers on stable servers end.
func drainTime(duration time.Duration) time.Duration {
	return lead(duration) / 2
}

// lastCall returns the elapsed time at which a rollout ends, however late its phase began.
func lastCall(duration time.Duration) time.Duration {
	return duration - min(endMargin, duration/16)
}

// Judge decides whether the phase of a rollout changes. It is a function of its input alone.
func Judge(in Input) Verdict { return judge(in, examine) }

// judge is Judge with a given test of the answers.
func judge(in Input, test func(Input) finding) Verdict {
	if in.Phase.Ended() {
		return Verdict{Phase: in.Phase}
	}
	found := test(in)
	if found.fault {
		return Verdict{Phase: RolledBack, Reason: found.reason, Route: found.route}
	}
	if in.CandidateServers == 0 {
		return withoutCandidate(in)
	}
	if in.Phase == Shifting {
		return shifting(in, found)
	}
	if in.Elapsed < shiftAt(in.Duration, found) {
		return Verdict{Phase: Canary, Reason: found.reason}
	}
	if found.reason == ReasonCollecting {
		return Verdict{Phase: Shifting, Reason: ReasonUndecided}
	}
	return Verdict{Phase: Shifting, Reason: found.reason}
}

// shiftAt returns the elapsed time at which Shifting begins. While answers do not show that
// the candidate is healthy, they are collected for longer.
func shiftAt(duration time.Duration, found finding) time.Duration {
	if found.reason == ReasonHealthy {
		return duration - lead(duration)
	}
	return duration - min(minLead, lead(duration))
}

// withoutCandidate decides while no server of the candidate serves.
func withoutCandidate(in Input) Verdict {
	if in.Elapsed >= lastCall(in.Duration) {
		return Verdict{Phase: RolledBack, Reason: ReasonNoCandidate}
	}
	return Verdict{Phase: in.Phase, Reason: ReasonNoCandidate}
}

// ends reports whether Shifting has lasted for long enough.
func ends(in Input) bool {
	return in.InPhase >= drainTime(in.Duration) || in.Elapsed >= lastCall(in.Duration)
}

// shifting decides while all new requests go to the candidate.
func shifting(in Input, found finding) Verdict {
	if ends(in) {
		return Verdict{Phase: Completed, Reason: ReasonDrained}
	}
	return Verdict{Phase: Shifting, Reason: found.reason}
}
