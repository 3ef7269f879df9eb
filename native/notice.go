package native

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// AnswerNotice is what an answer says about the server that gave it.
type AnswerNotice struct {
	Pause   time.Duration // the server wants no requests for so long; 0: it asks for no pause
	Leaving bool          // the server is about to end
	// Limit is how many requests a second the server takes from all entries together, if Limited.
	Limited bool
	Limit   float64
}

// NoticeOf returns the notice in an answer. Only with status 503 a Retry-After asks for a pause:
// with other statuses it concerns the one request.
func NoticeOf(status int, h http.Header) AnswerNotice {
	n := AnswerNotice{Leaving: isLeaving(h)}
	n.Limit, n.Limited = parseLimit(h.Get(HeaderLimit))
	if status == http.StatusServiceUnavailable {
		n.Pause = parseRetryAfter(h.Get(HeaderRetryAfter))
	}
	return n
}

// NoticeOfError returns the notice in the answer that a call has failed with, if any.
func NoticeOfError(err error) AnswerNotice {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return AnswerNotice{}
	}
	n := AnswerNotice{Leaving: callErr.Leaving, Limited: callErr.Limited, Limit: callErr.Limit}
	if callErr.Status == http.StatusServiceUnavailable {
		n.Pause = callErr.RetryAfter
	}
	return n
}

func isLeaving(h http.Header) bool { return h.Get(HeaderLeaving) == "1" }

// parseLimit parses a limit of requests a second; ok is false for any other value.
func parseLimit(value string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
		return 0, false
	}
	return limit, true
}

// parseRetryAfter parses a Retry-After header in seconds, also with a fraction. It returns 0 for
// any other format.
func parseRetryAfter(value string) time.Duration {
	if strings.Trim(value, "0123456789.") != "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
