package explain

import (
	"net/http"
	"time"
)

// Reason classifies the outcome of a request from its caller's point of view.
type Reason string

// The reasons. Requests of all but InTime count as lost.
const (
	InTime       Reason = "in time"
	OverLimit    Reason = "over its workspace's limit"
	NoServer     Reason = "no server"
	Overloaded   Reason = "refused, would have been late"
	NotAdmitted  Reason = "refused for another reason"
	LeftQueued   Reason = "time over while queued at a server"
	LeftStarted  Reason = "time over after it had begun"
	CutOff       Reason = "cut off by its server"
	ServerFailed Reason = "server's own failure"
	LateRetried  Reason = "late: came back after a refusal"
	LateRepeated Reason = "late: repeated after a failure"
	LateBehind   Reason = "late: behind prompts that were known of"
	LateUnknown  Reason = "late: behind work that was not known of"
	LatePrompt   Reason = "late: its own prompt takes longer than its objective"
)

// prefillTokensPerSecond is the assumed rate at which a server prefills prompt tokens. The
// logs do not have the actual rate.
const prefillTokensPerSecond = 36_000

// reasonOf returns the reason for a request that ended with line end. chosen is its latest
// RouteChosen line, or the zero line if the log has none.
func reasonOf(end *line, chosen *line) Reason {
	switch end.Outcome {
	case "answered":
		return reasonOfAnswered(end, chosen)
	case "over_limit":
		return OverLimit
	case "no_server":
		return NoServer
	case "overloaded":
		return Overloaded
	case "timed_out", "caller_left":
		if end.Sends > 0 && end.FirstByte == 0 {
			return LeftQueued
		}
		return LeftStarted
	case "broken", "broke_off":
		return CutOff
	default:
		return NotAdmitted
	}
}

// reasonOfAnswered returns the reason for a request with outcome "answered".
func reasonOfAnswered(end *line, chosen *line) Reason {
	switch {
	case end.Status >= http.StatusInternalServerError:
		return ServerFailed
	case end.ObjectivePassed:
		return LateRetried
	case end.Objective <= 0 || end.FirstByte <= end.Objective:
		return InTime
	case end.Sends > 1:
		return LateRepeated
	case prefillTime(chosen.Prompt-chosen.Cached) > end.Objective:
		return LatePrompt
	case prefillTime(chosen.Ahead+chosen.Prompt-chosen.Cached) > end.Objective:
		return LateBehind
	default:
		return LateUnknown
	}
}

// prefillTime returns the estimated time to prefill this many prompt tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
}

// owedAnswer reports whether the request counts: requests with an unknown key or route are
// not owed an answer.
func owedAnswer(end *line) bool { return end.Outcome != "unknown_key" && end.Outcome != "no_route" }
