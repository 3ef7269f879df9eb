package request

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code identifies a kind of problem. Codes are stable; titles and details may
// change.
type Code string

// The codes of problems.
const (
	CodeBadRequest        Code = "bad_request"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeUnknownService    Code = "unknown_service"
	CodeTooLarge          Code = "body_too_large"
	CodeDeadlineExpired   Code = "deadline_expired"
	CodeDeadlineUnmet     Code = "deadline_cannot_be_met"
	CodeLimit             Code = "limit_reached"
	CodeQueueFull         Code = "queue_full"
	CodeNoServer          Code = "no_backend_server"
	CodeServerFailed      Code = "backend_server_failed"
	CodeServerRefused     Code = "backend_server_refused"
	CodeDraining          Code = "entry_leaving"
	CodeCatalogueStale    Code = "catalogue_unconfirmed"
	CodeLedger            Code = "ledger_unavailable"
	CodeKeyMissing        Code = "idempotency_key_missing"
	CodeKeyReused         Code = "idempotency_key_reused"
	CodeAnswerNotKept     Code = "answer_not_kept"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeQuarantined       Code = "quarantined"
	CodeStopped           Code = "service_stopped"
	CodeNoSuchAnswer      Code = "no_such_answer"
	CodeRefusedCatalogue  Code = "catalogue_refused"
	CodeNotLeader         Code = "no_leader"
	CodeInternal          Code = "internal"
	CodeReplicaRefused    Code = "replica_refused"
	CodeReplicaBehind     Code = "replica_not_caught_up"
	CodeAnnounceRefused   Code = "announcement_refused"
	CodeLeaveNotHeld      Code = "leave_not_held"
	CodeConcurrentRequest Code = "request_running"
	CodeNoRoom            Code = "no_room"
)

// Headers that the system reads and writes.
const (
	HeaderOutcome   = "Savoryreel-Outcome"
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "Savoryreel-Deadline-Ms" // remaining time in whole milliseconds
	HeaderClass     = "Savoryreel-Class"
	HeaderKeep      = "Savoryreel-Keep" // "true": continue after the caller has disconnected
	HeaderKey       = "Idempotency-Key"
	HeaderEventID   = "Last-Event-ID"
)

// Problem is an error response in the format of RFC 9457.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Code       Code          `json:"code"`
	Outcome    Outcome       `json:"outcome"`
	Detail     string        `json:"detail,omitempty"`
	RequestID  ID            `json:"requestId,omitempty"`
	RetryAfter time.Duration `json:"-"` // sent as Retry-After, in whole seconds rounded up
}

// problemTypes maps each code to its HTTP status and title.
var problemTypes = map[Code]struct {
	status int
	title  string
}{
	CodeBadRequest:        {http.StatusBadRequest, "The request is malformed"},
	CodeUnauthorized:      {http.StatusUnauthorized, "No workspace has this key"},
	CodeForbidden:         {http.StatusForbidden, "The workspace may not call this service"},
	CodeUnknownService:    {http.StatusNotFound, "No such service"},
	CodeTooLarge:          {http.StatusRequestEntityTooLarge, "The request body is too large"},
	CodeDeadlineExpired:   {http.StatusGatewayTimeout, "The deadline has passed"},
	CodeDeadlineUnmet:     {http.StatusServiceUnavailable, "The deadline cannot be met"},
	CodeLimit:             {http.StatusTooManyRequests, "The workspace's limit is reached"},
	CodeQueueFull:         {http.StatusServiceUnavailable, "Too many requests wait"},
	CodeNoServer:          {http.StatusServiceUnavailable, "No backend server can take the request"},
	CodeServerFailed:      {http.StatusBadGateway, "The backend server failed"},
	CodeServerRefused:     {http.StatusServiceUnavailable, "The backend server refused the request"},
	CodeDraining:          {http.StatusServiceUnavailable, "This entry is leaving"},
	CodeCatalogueStale:    {http.StatusServiceUnavailable, "This entry cannot confirm its catalogue"},
	CodeLedger:            {http.StatusServiceUnavailable, "The request could not be recorded"},
	CodeKeyMissing:        {http.StatusBadRequest, "A call that may not be repeated needs an Idempotency-Key"},
	CodeKeyReused:         {http.StatusUnprocessableEntity, "The Idempotency-Key belongs to another request"},
	CodeAnswerNotKept:     {http.StatusConflict, "The request was answered; its answer was too large to keep"},
	CodeOutcomeUnknown:    {http.StatusBadGateway, "The request may have run"},
	CodeQuarantined:       {http.StatusUnprocessableEntity, "The request is quarantined: it stopped backend servers"},
	CodeStopped:           {http.StatusServiceUnavailable, "The service is stopped by its operators"},
	CodeNoSuchAnswer:      {http.StatusNotFound, "No answer is held under this id"},
	CodeRefusedCatalogue:  {http.StatusUnprocessableEntity, "The catalogue change is refused"},
	CodeNotLeader:         {http.StatusServiceUnavailable, "No control leader can be reached"},
	CodeReplicaRefused:    {http.StatusUnprocessableEntity, "The replica set cannot be changed like this"},
	CodeReplicaBehind:     {http.StatusConflict, "The replica has not caught up yet"},
	CodeInternal:          {http.StatusInternalServerError, "Internal error"},
	CodeAnnounceRefused:   {http.StatusForbidden, "The announcement is refused"},
	CodeLeaveNotHeld:      {http.StatusServiceUnavailable, "Too few other instances know yet that the server leaves"},
	CodeConcurrentRequest: {http.StatusConflict, "The same request is still running"},
	CodeNoRoom:            {http.StatusServiceUnavailable, "This process has no room for the request"},
}

// NewProblem returns a problem with code c and outcome o. The format and its
// arguments give the detail, a text for people. An unknown code gets the status
// and title of CodeInternal.
func NewProblem(c Code, o Outcome, format string, args ...any) *Problem {
	problemType, known := problemTypes[c]
	if !known {
		problemType = problemTypes[CodeInternal]
	}
	return &Problem{
		Type:    "https://savoryreel.example/problems/" + string(c),
		Title:   problemType.title,
		Status:  problemType.status,
		Code:    c,
		Outcome: o,
		Detail:  fmt.Sprintf(format, args...),
	}
}

// After sets the time after which the caller may retry, and returns p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error returns the code, outcome and detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}

// Write writes the problem as the complete HTTP response, with a Retry-After
// header if RetryAfter is set.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	h.Set("Cache-Control", "no-store")
	if p.RequestID != "" {
		h.Set(HeaderRequestID, string(p.RequestID))
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the caller has disconnected
}
