package gateway

import (
	"context"
	"net/http"
	"time"
)

// Request is a caller's request as the HTTP handler read it.
type Request struct {
	ID     string // of this attempt of the caller
	Method string
	Target string // path and query, as they were sent
	Path   string // of Target
	Host   string // as routes name it
	Key    string // the caller's key; empty: none

	Header http.Header // what goes on to the server unchanged
	Body   []byte

	CallerTimeout time.Duration // how long the caller waits; 0: not said

	Model          string
	HasSize        bool // the request says how large it is
	PromptTokens   int
	AnswerTokens   int // at most
	PromptSegments []PromptSegment
	ResumeAfter    string // id of the last event that the caller has; empty: none
}

// PromptSegment is a piece of a prompt that other requests may share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Writer takes an answer. Begin comes first and once; then Write, and after a
// stream's events Flush. Without a Begin the caller still can be told a refusal.
type Writer interface {
	// Begin starts the answer; length is that of the body, -1 if not known.
	Begin(status int, header http.Header, length int64)
	Write(p []byte) (int, error)
	Flush() error
}

// Reason says why a request gets no server's answer.
type Reason uint8

// The reasons. The first group are the caller's, the second say that the request
// has not run and never will, the third leave that open.
const (
	NoRoute Reason = iota + 1
	UnknownKey

	NoCatalogue   // nothing is known yet of routes and workspaces
	OverLimit     // the workspace's limit is used up
	NoServer      // no server could take it
	Overloaded    // it would not be answered in time
	ExpiredUnsent // its time ran out before it was sent

	ServerFailed // the server failed, or its answer was of no use
	TimedOut     // its time ran out while a server was at work on it
	Truncated    // the answer broke off after it had begun
	CallerGone   // the caller has gone
)

var reasonNames = map[Reason]string{
	NoRoute: "no_route", UnknownKey: "unknown_key", NoCatalogue: "no_catalogue", OverLimit: "over_limit", NoServer: "no_server",
	Overloaded: "overloaded", ExpiredUnsent: "out_of_time", ServerFailed: "broken", TimedOut: "timed_out", Truncated: "broke_off", CallerGone: "caller_left",
}

// String returns the reason for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// NotRun reports whether the reason says that the request has not run.
func (r Reason) NotRun() bool { return r <= ExpiredUnsent }

// Refusal ends a request without a server's answer.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when to come back; 0: not said
	Detail     string        // for the log
}

// Attempt is one run of a request at a server, as far as the server is told of it.
type Attempt struct {
	Server      string // id; any other server is to turn the request away
	Workspace   string // empty on public routes
	Remaining   time.Duration
	Rank        int    // 0 is the most urgent
	ResumeAfter string // id of the event after which the stream goes on; empty: from the start
}

// AnswerClass is what the head of a server's answer proves.
type AnswerClass uint8

// The proofs.
const (
	Answered    AnswerClass = iota + 1 // the server's answer, to be passed on
	Failed                             // the server ran it and failed; may be passed on
	NotRun                             // the server says that it did not run it
	WrongServer                        // another server than the one meant; it did not run it
	Unusable                           // it may have run, and the answer can't be passed on
)

// Dialect puts requests to servers and reads their answers.
type Dialect interface {
	// RequestHeader returns the header with which a run is sent.
	RequestHeader(r *Request, run Attempt) http.Header
	// Matches reports whether an answer with this header answers the request.
	Matches(r *Request, h http.Header) bool
	// Classify says what an answer's head proves.
	Classify(status int, h http.Header) AnswerClass
	// AnswerHeader returns the part of an answer's header that goes to the caller.
	AnswerHeader(h http.Header) http.Header
}

// Handler serves requests; Gateway is one.
type Handler interface {
	Serve(ctx context.Context, r *Request, w Writer) *Refusal
}
