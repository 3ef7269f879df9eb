package pick

import "time"

// DrainRequest describes an entry that leaves.
type DrainRequest struct {
	Now          time.Time
	LeavingSince time.Time // when it started to leave and announced it to the other entries
	LastExpiry   time.Time // latest expiry of a list that names it, over all entries; zero if unknown
	ReclaimedAt  time.Time // when the instance is reclaimed; zero if there is no limit
}

// DrainReason is what determines DrainVerdict.AcceptUntil.
type DrainReason uint8

const (
	DrainAnswersEnd DrainReason = iota // the last list that names the entry expires
	DrainNoticeEnds                    // the instance is reclaimed before that
	DrainDone                          // AcceptUntil has passed: finish accepted requests and stop
)

// String returns the reason as it appears in logs.
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

// DrainVerdict holds the time until which a leaving entry accepts new requests.
type DrainVerdict struct {
	AcceptUntil time.Time
	Reason      DrainReason
	Shortfall   time.Duration // how much earlier than the last expiry plus Slack, with DrainNoticeEnds
}

// Drain returns until when a leaving entry must accept requests: until every list that
// names it has expired, or until it is reclaimed. If it closed earlier, callers with a
// valid list would have their connections refused. The other entries may name it until
// Spread after LeavingSince, and each of those lists is valid for Validity.
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
