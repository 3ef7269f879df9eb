package request

import (
	"errors"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/intake"
)

// busyRetryDelay is sent as Retry-After by a process that has no room for a request.
const busyRetryDelay = time.Second

// BodyProblem returns the problem of a request whose body could not be read, or that found no place. The request has
// not run.
func BodyProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	var neverFits *intake.TooLargeError
	var refused *intake.RefusedError
	switch {
	case errors.As(err, &tooLarge):
		return NewProblem(CodeTooLarge, NotRun, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &neverFits):
		return NewProblem(CodeTooLarge, NotRun, "%v", neverFits)
	case errors.As(err, &refused):
		return NewProblem(CodeNoRoom, NotRun, "%v", refused).After(busyRetryDelay)
	default:
		return NewProblem(CodeBadRequest, NotRun, "the request body cannot be read: %v", err)
	}
}

// WriteBusy answers a request for which a process has no place.
func WriteBusy(w http.ResponseWriter, _ *http.Request, refused error) { BodyProblem(refused).Write(w) }
