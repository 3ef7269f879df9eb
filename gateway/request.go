package gateway

import (
	"context"
	"net/http"
	"time"
)

// Request is a caller's request as read by the HTTP handler.
type Request struct {
	ID     string // unique for each attempt of the caller
	Method string
	Target string // path and query as received
	Path   string // path of Target
	Host   string // host name as routes spell it
	Key    string // the caller's key; empty if there is none

	Header http.Header // forwarded to the server unchanged
	Body   []byte

	CallerTimeout time.Duration // how long the caller waits; 0 if unknown

	Model          string
	HasSize        bool // PromptTokens and AnswerTokens are set
	PromptTokens   int
	AnswerTokens   int // upper bound
	PromptSegments []PromptSegment
	ResumeAfter    string // id of the last event that the caller received; empty if none
	Resumes        string // ID of the attempt of this caller that brought the first event of the stream; empty if not stated
}

// PromptSegment is a segment of a prompt that other requests may share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Writer writes an answer to the caller. Begin is called once and first, then Write, and
// Flush after each event of a stream. Until Begin is called the caller can still be sent a
// refusal.
type Writer interface {
	// Begin writes the header; length is that of the body, -1 if unknown.
	Begin(status int, header http.Header, length int64)
	Write(p []byte) (int, error)
	Flush() error
}

// Reason is why a request gets no server's answer.
type Reason uint8

// The reasons of a refusal. The first group are the caller's errors; the second group say
// that the request has not run and will not run; the third group leave that open.
const (
	NoRoute Reason = iota + 1
	UnknownKey

	NoCatalogue // no catalogue has been received yet
	OverLimit   // the workspace's limit is exhausted
	NoServer    // no server is available
	Overloaded  // servers are too busy to answer within the deadline
	Quarantined // it crashes the servers that run it

	UnknownStream    // it takes a stream up of which it is not known which version began it
	VersionNotServed // it takes a stream up that began at a version which no server takes now

	ExpiredUnsent // the deadline passed before it was sent

	ServerFailed // the server failed, or its answer is unusable
	TimedOut     // the deadline passed while a server was processing it
	Truncated    // the answer ended early after its header was sent
	CallerGone   // the caller disconnected
)

var reasonNames = map[Reason]string{
	NoRoute: "no_route", UnknownKey: "unknown_key", NoCatalogue: "no_catalogue", OverLimit: "over_limit", NoServer: "no_server",
	Overloaded: "overloaded", Quarantined: "quarantined", UnknownStream: "unknown_stream", VersionNotServed: "version_not_served", ExpiredUnsent: "out_of_time", ServerFailed: "broken", TimedOut: "timed_out", Truncated: "broke_off", CallerGone: "caller_left",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// NotRun reports whether the reason says that the request has not run.
func (r Reason) NotRun() bool { return r <= ExpiredUnsent }

// Refusal is the end of a request without a server's answer.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when the caller should retry; 0 if unspecified
	Detail     string        // for the log
}

// Attempt describes one attempt to run a request on a server, as the Dialect sends it.
type Attempt struct {
	Server      string        // id; a server with another id must reject the request
	Workspace   string        // empty on public routes
	Remaining   time.Duration // until the deadline
	Rank        int           // 0 is the most urgent
	ResumeAfter string        // id of the event after which the stream resumes; empty for the start
}

// AnswerClass classifies a server's answer by its status and header.
type AnswerClass uint8

// The classes of answers.
const (
	Answered    AnswerClass = iota + 1 // the server's answer, to be relayed
	Failed                             // the server ran it and failed; may be relayed
	NotRun                             // the server reports that it did not run it
	WrongServer                        // answered by a server with another id, which did not run it
	Unusable                           // it may have run, and the answer can't be relayed
)

// Notice is what a server's answer says about the server.
type Notice struct {
	Leaving bool          // it is about to end
	Pause   time.Duration // it wants no requests from this entry for that long; 0: not stated
	// Limit is how many requests a second it takes from all entries together, if Limited.
	Limited bool
	Limit   float64
	// BrittleLimit is how many requests it bears to turn away in a second, if Brittle. One more and
	// it falls over.
	Brittle      bool
	BrittleLimit int
}

// Dialect builds requests to servers and reads their answers.
type Dialect interface {
	// RequestHeader returns the header of an attempt.
	RequestHeader(r *Request, attempt Attempt) http.Header
	// Matches reports whether an answer with header h belongs to the request.
	Matches(r *Request, h http.Header) bool
	// Classify returns the class of an answer.
	Classify(status int, h http.Header) AnswerClass
	// Notice returns what an answer says about its server.
	Notice(status int, h http.Header) Notice
	// AnswerHeader returns the header that is relayed to the caller.
	AnswerHeader(h http.Header) http.Header
}

// Handler serves requests; Gateway implements it.
type Handler interface {
	Serve(ctx context.Context, r *Request, w Writer) *Refusal
}
