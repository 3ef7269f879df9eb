package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/request"
)

// answerWriter writes the answer of one request to one caller.
type answerWriter struct {
	entry      *Entry
	w          http.ResponseWriter
	work       *work
	next       int  // number of tokens that the caller has received
	headerSent bool // whether status line and headers have been sent
}

// parseLastEventID reads Last-Event-ID, the number of tokens that the caller has received.
// available is the number of tokens generated so far. Without the header it returns 0.
func parseLastEventID(r *http.Request, available int) (int, *request.Problem) {
	text := r.Header.Get(request.HeaderEventID)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > available {
		return 0, request.NewProblem(request.CodeBadRequest, request.NotRun, "%s %q names no token of this answer", request.HeaderEventID, text)
	}
	return n, nil
}

// location returns the URL of the answer at the entry that has taken the request over.
func (a *answerWriter) location(end *request.End) string {
	return "http://" + end.MovedTo + "/v1/answers/" + string(a.work.request.ID)
}

// stream sends the answer as server-sent events, one per token. The id of an event is the
// number of tokens sent so far, including its own.
func (a *answerWriter) stream(ctx context.Context) {
	for {
		tokens, end, err := a.work.journal.Next(ctx, a.next)
		if err != nil {
			return // the caller has disconnected
		}
		if end != nil {
			a.streamEnd(end)
			return
		}
		a.writeHeader("text/event-stream")
		for _, t := range tokens {
			a.next++
			a.writeEvent(a.chunk(native.ChunkChoice{Delta: native.Delta{Content: t}}, nil))
		}
		if !a.flush() {
			return
		}
	}
}

// writeHeader sends the status line and the headers, at its first call only.
func (a *answerWriter) writeHeader(contentType string) {
	if a.headerSent {
		return
	}
	a.headerSent = true
	if a.next == 0 {
		a.entry.metrics.firstToken.UpdateDuration(a.work.request.Accepted)
	}
	h := a.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set(request.HeaderRequestID, string(a.work.request.ID))
	h.Set("Trailer", request.HeaderOutcome)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) chunk(c native.ChunkChoice, u *native.Usage) native.ChatChunk {
	return native.ChatChunk{
		ID: string(a.work.request.ID), Object: "chat.completion.chunk", Model: a.work.request.Service,
		Choices: []native.ChunkChoice{c}, Usage: u,
	}
}

// writeEvent writes one event. A write error is ignored, since flush reports a broken
// connection.
func (a *answerWriter) writeEvent(v any) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return // unreachable: strings and numbers always encode
	}
	fmt.Fprintf(a.w, "id: %d\ndata: %s\n\n", a.next, encoded)
}

// flushTimeout bounds one write to a caller. Without it, a connection whose peer no longer
// responds would block the goroutine until the kernel stops retransmitting, after about 15
// minutes.
const flushTimeout = 10 * time.Second

// flush sends what has been written and reports whether it succeeded.
func (a *answerWriter) flush() bool {
	rc := http.NewResponseController(a.w)
	_ = rc.SetWriteDeadline(time.Now().Add(flushTimeout)) // if the writer supports no deadline, the kernel's retransmission timeout applies
	return rc.Flush() == nil
}

// streamEnd ends a stream with the last event, a redirect or a problem. A redirect or a
// problem status is possible only before the headers have been sent; afterwards each is an
// event.
func (a *answerWriter) streamEnd(end *request.End) {
	switch {
	case end.MovedTo != "" && !a.headerSent:
		a.redirect(end)
	case end.MovedTo != "":
		fmt.Fprintf(a.w, "id: %d\nevent: moved\nretry: 0\ndata: {\"location\":%q}\n\n", a.next, a.location(end))
		a.flush()
	case end.Problem != nil && !a.headerSent:
		a.writeProblem(end.Problem)
	case end.Problem != nil:
		a.streamProblem(end.Problem)
	default:
		a.writeHeader("text/event-stream")
		a.writeEvent(a.chunk(native.ChunkChoice{FinishReason: end.Finish}, a.usage(end)))
		fmt.Fprint(a.w, "data: [DONE]\n\n")
		a.w.Header().Set(request.HeaderOutcome, string(request.Answered))
		a.flush()
	}
}

func (a *answerWriter) streamProblem(p *request.Problem) {
	p = a.withRequestID(p)
	encoded, err := json.Marshal(p)
	if err != nil {
		return // unreachable: strings and numbers always encode
	}
	fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", encoded)
	a.w.Header().Set(request.HeaderOutcome, string(p.Outcome))
	a.flush()
}

// withRequestID returns a copy of p with the id of the request.
func (a *answerWriter) withRequestID(p *request.Problem) *request.Problem {
	c := *p
	c.RequestID = a.work.request.ID
	return &c
}

func (a *answerWriter) writeProblem(p *request.Problem) { a.withRequestID(p).Write(a.w) }

// redirect sends the caller to the entry that has taken its request over. Status 307 keeps
// the method. The URL contains the request id, because clients drop Authorization when they
// follow a redirect to another host.
func (a *answerWriter) redirect(end *request.End) {
	h := a.w.Header()
	h.Set("Location", a.location(end))
	h.Set(request.HeaderRequestID, string(a.work.request.ID))
	h.Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusTemporaryRedirect)
}

// sendWhole waits for the end of the answer and sends it as one JSON document.
func (a *answerWriter) sendWhole(ctx context.Context) {
	for {
		tokens, end, err := a.work.journal.Next(ctx, a.next)
		if err != nil {
			return // the caller has disconnected
		}
		a.next += len(tokens)
		if end == nil {
			continue
		}
		switch {
		case end.MovedTo != "":
			a.redirect(end)
		case end.Problem != nil:
			a.writeProblem(end.Problem)
		default:
			a.writeResponse(end)
		}
		return
	}
}

func (a *answerWriter) writeResponse(end *request.End) {
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(request.HeaderRequestID, string(a.work.request.ID))
	h.Set(request.HeaderOutcome, string(request.Answered))
	a.entry.metrics.firstToken.UpdateDuration(a.work.request.Accepted)
	text := strings.Join(a.work.journal.Tokens(), "")
	_ = json.NewEncoder(a.w).Encode(native.ChatResponse{ // an error means that the caller has disconnected
		ID: string(a.work.request.ID), Object: "chat.completion", Model: a.work.request.Service,
		Choices: []native.Choice{{
			Message:      native.Message{Role: "assistant", Content: text},
			FinishReason: end.Finish,
		}},
		Usage: *a.usage(end),
	})
}

func (a *answerWriter) usage(end *request.End) *native.Usage {
	return &native.Usage{
		Prompt: end.Prompt, Completion: len(a.work.journal.Tokens()),
		Cached: end.Cached, Recomputed: end.Recomputed,
	}
}
