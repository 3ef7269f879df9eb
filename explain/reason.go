package explain

import (
	"net/http"
	"time"
)

// Reason says what became of a request, as its caller sees it.
type Reason string

// The reasons. All but InTime are service lost.
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

// readsPerSecond is the rate at which prompt tokens are taken to be read where the log
// does not tell: of today's engines the slower one.
const prefillTokensPerSecond = 36_000

// reasonOf says why a request that has ended was or was not answered in time. chosen is
// its last choice, and may be empty where that line was left out.
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

func reasonOfAnswered(end *line, chosen *line) Reason {
	switch {
	case end.Status >= http.StatusInternalServerError:
		return ServerFailed
	case end.Retried:
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

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
}

// decided reports whether the request was one that the system had to answer: callers
// with unknown keys and routes are not owed one.
func owedAnswer(end *line) bool { return end.Outcome != "unknown_key" && end.Outcome != "no_route" }
