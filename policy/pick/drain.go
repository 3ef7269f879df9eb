package pick

import "time"

// DrainRequest is what is known of an entry that leaves.
type DrainRequest struct {
	Now          time.Time
	LeavingSince time.Time // when it began to leave, which is when its peers were told
	LastExpiry   time.Time // latest end of an answer that names it, from all entries; zero: not known
	ReclaimedAt  time.Time // when the instance is taken away; zero: it may take its time
}

// DrainReason says what ends the time of accepting.
type DrainReason uint8

// The reasons.
const (
	DrainAnswersEnd DrainReason = iota // every answer that names the entry will have ended
	DrainNoticeEnds                    // the instance is taken away before that
	DrainDone                          // the time has passed; finish what was accepted and stop
)

// String returns the reason in lower case, for logs.
func (r DrainReason) String() string {
	switch r {
	case DrainAnswersEnd:
		return "answers_end"
	case DrainNoticeEnds:
		return "notice_ends"
	case DrainDone:
		return "done"
	default:
		return "unknown"
	}
}

// DrainVerdict says until when a leaving entry accepts new requests.
type DrainVerdict struct {
	AcceptUntil time.Time
	Reason      DrainReason
	Shortfall   time.Duration // how much sooner than the last answer's end, with DrainNoticeEnds
}

// Drain decides how long a leaving entry must keep accepting. It closes no
// sooner than the last answer that names it: a caller with a valid answer that
// finds the port closed has lost a request through a planned stop, and shows up
// as refused connections within Validity after each one. Its peers may go on
// naming it for Spread after Leaving, with a validity of Validity from then.
func (p *Picker) Drain(req DrainRequest) DrainVerdict {
	lastExpiry := req.LeavingSince.Add(p.cfg.Spread + p.cfg.Validity)
	if !req.LastExpiry.IsZero() && req.LastExpiry.Before(lastExpiry) && !req.Now.Before(req.LeavingSince.Add(p.cfg.Spread)) {
		lastExpiry = req.LastExpiry
	}
	v := DrainVerdict{AcceptUntil: lastExpiry.Add(p.cfg.Slack), Reason: DrainAnswersEnd}
	if !req.ReclaimedAt.IsZero() && req.ReclaimedAt.Before(v.AcceptUntil) {
		v.Shortfall = v.AcceptUntil.Sub(req.ReclaimedAt)
		v.AcceptUntil = req.ReclaimedAt
		v.Reason = DrainNoticeEnds
	}
	if !req.Now.Before(v.AcceptUntil) {
		v.Reason = DrainDone
	}
	return v
}
