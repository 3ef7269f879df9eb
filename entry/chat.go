package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/request"
)

// Estimates and bounds of a chat request's cost in tokens.
const (
	bytesPerToken       = 4   // typical of English text
	defaultAnswerTokens = 256 // if the caller sets no max_tokens
	maxAnswerTokens     = 128 << 10
)

// handleChat accepts a chat request and sends its answer, streamed or whole.
func (e *Entry) handleChat(w http.ResponseWriter, r *http.Request) {
	c, p := e.authenticate(r)
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	wk, p := e.acceptChat(w, c)
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	e.sendAnswer(w, r, wk, 0)
}

// acceptChat checks and admits a caller's request, and returns its started work.
func (e *Entry) acceptChat(w http.ResponseWriter, c *call) (*work, *request.Problem) {
	body, p := e.readBody(c.http, contract.MaxBodyBytes)
	if p != nil {
		return nil, p
	}
	chat, p := decodeChat(body)
	if p != nil {
		return nil, p
	}
	s, p := c.service(chat.Model, contract.KindModel)
	if p != nil {
		return nil, p
	}
	if int64(len(body)) > s.BodyLimit() {
		return nil, tooLargeProblem(s.BodyLimit())
	}
	req, p := e.newRequest(c, s, defaultChatDeadline)
	if p != nil {
		return nil, p
	}
	req.Body, req.Stream, req.Idempotent = body, chat.Stream, true
	req.Answer = answerTokens(chat)
	req.Cost = answerCost(promptTokens(chat.Messages), req.Answer)
	return e.startChat(c, s, req, chat)
}

// decodeChat decodes a chat request. It checks only the fields that this system uses:
// clients of the OpenAI API send many others.
func decodeChat(body []byte) (native.ChatRequest, *request.Problem) {
	var chat native.ChatRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&chat); err != nil {
		return chat, request.NewProblem(request.CodeBadRequest, request.NotRun, "the body is no chat request: %v", err)
	}
	switch {
	case chat.Model == "":
		return chat, request.NewProblem(request.CodeBadRequest, request.NotRun, "model is missing: it names the service")
	case len(chat.Messages) == 0:
		return chat, request.NewProblem(request.CodeBadRequest, request.NotRun, "messages is empty")
	case chat.MaxTokens < 0 || chat.MaxTokens > maxAnswerTokens:
		return chat, request.NewProblem(request.CodeBadRequest, request.NotRun, "max_tokens %d is out of range 0..%d", chat.MaxTokens, maxAnswerTokens)
	case chat.Resume != nil:
		return chat, request.NewProblem(request.CodeBadRequest, request.NotRun, "resume is not for callers")
	}
	return chat, nil
}

// promptTokens estimates the tokens of the prompt.
func promptTokens(messages []native.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)
	}
	return n/bytesPerToken + 1
}

// answerTokens estimates the tokens of the answer.
func answerTokens(c native.ChatRequest) int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return defaultAnswerTokens
}

// startChat admits, queues and launches a request.
func (e *Entry) startChat(c *call, s *contract.Service, req *request.Request, chat native.ChatRequest) (*work, *request.Problem) {
	if p := e.admit(c.workspace, s, req); p != nil {
		return nil, p
	}
	wk, err := e.newWork(s, req, chat, nil, c.workspace.Weight)
	if err != nil {
		e.release(req, 0)
		return nil, request.NewProblem(request.CodeInternal, request.NotRun, "%v", err)
	}
	if p := wk.ticket.lane.submit(wk.ticket); p != nil {
		wk.cancel()
		e.release(req, 0)
		p.RequestID = req.ID
		return nil, p
	}
	e.launch(wk, e.engineRequest(s, req, chat), true)
	return wk, nil
}

// newWork returns the work of a request. tokens are those that another entry has generated
// already.
func (e *Entry) newWork(s *contract.Service, req *request.Request, chat native.ChatRequest, tokens []string, weight int) (*work, error) {
	l, err := e.lanes.get(laneKeyOf(s))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(e.ctx, req.Deadline)
	t := &ticket{
		request: req, weight: weight, lane: l, decision: make(chan decision, 1), sends: &sends{retries: e.retries, request: req},
		parts: partsOf(chat.Messages),
		route: route.Request{
			Prefixes: native.PrefixHashes(chat.Messages), PromptTokens: promptTokens(chat.Messages),
			Adapter: s.Adapter, Version: s.Version, Zone: e.cfg.Zone, Region: e.cfg.Region,
		},
	}
	return &work{request: req, journal: request.NewJournal(tokens), ticket: t, ctx: ctx, cancel: cancel}, nil
}

// engineRequest returns the request for the engine: the caller's, with the engine's name of
// the model or adapter and the priority of the request's class.
func (e *Entry) engineRequest(s *contract.Service, req *request.Request, chat native.ChatRequest) native.ChatRequest {
	chat.Model = s.Model
	if s.Adapter != "" {
		chat.Model = s.Adapter
	}
	chat.Priority = req.Class.Rank()
	return chat
}

// launch registers the work and runs it in its own goroutine, so that it does not end with
// one caller's connection. If queued is set, the work first waits for the queue's decision.
// launch reports false if the request is registered here already.
func (e *Entry) launch(wk *work, body native.ChatRequest, queued bool) bool {
	if _, added := e.registry.add(wk); !added {
		wk.cancel()
		return false
	}
	e.runningRequests.Go(func() {
		defer wk.cancel()
		defer func() { e.release(wk.request, wk.cost()) }()
		var granted *grant
		if queued {
			granted = e.awaitGrant(wk)
		}
		if wk.journal.Ended() == nil {
			e.runner.run(wk, body, granted)
		}
		e.finishChat(wk)
	})
	return true
}

// awaitGrant waits for the queue's decision. It returns nil if the request was refused,
// which ends its journal, or if it was withdrawn from the queue to be handed over.
func (e *Entry) awaitGrant(wk *work) *grant {
	ctx, cancel := wk.stepContext()
	defer cancel(nil)
	select {
	case d := <-wk.ticket.decision:
		return e.applyDecision(wk, d)
	case <-ctx.Done():
	}
	if !wk.ticket.lane.withdraw(wk.request.ID) {
		return e.applyDecision(wk, <-wk.ticket.decision)
	}
	if wk.ctx.Err() != nil {
		wk.journal.Finish(request.End{Problem: request.NewProblem(request.CodeDeadlineExpired, request.NotRun, "the request was given up while it waited")})
	}
	return nil
}

// applyDecision returns the grant of a decision, or ends the journal with its problem and
// returns nil.
func (e *Entry) applyDecision(wk *work, d decision) *grant {
	e.metrics.queueWait.UpdateDuration(wk.request.Accepted)
	if d.problem != nil {
		wk.journal.Finish(request.End{Problem: d.problem})
	}
	return d.grant
}

// finishChat counts and logs the end of a request.
func (e *Entry) finishChat(wk *work) {
	end := wk.journal.Ended()
	outcome, code := request.Answered, request.Code("")
	switch {
	case end.MovedTo != "":
		wk.markEnded(e.deps.Now())
		return // the entry that took it over logs its end
	case end.Problem != nil:
		outcome, code = end.Problem.Outcome, end.Problem.Code
	}
	e.logEnd(wk.request, outcome, code, len(wk.journal.Tokens()))
	wk.markEnded(e.deps.Now())
}

// sendAnswer sends the answer to one caller, from token number from on. The work is
// cancelled when its last caller has disconnected, unless the request is to be kept.
func (e *Entry) sendAnswer(w http.ResponseWriter, r *http.Request, wk *work, from int) {
	wk.addFollower()
	defer func() {
		if wk.removeFollower(e.deps.Now()) && wk.journal.Ended() == nil {
			event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.CallerLeft, slog.String("request", string(wk.request.ID)))
			wk.cancel() // frees the engine's slot for a waiting request
		}
	}()
	a := &answerWriter{entry: e, w: w, work: wk, next: from}
	if wk.request.Stream {
		a.stream(r.Context())
		return
	}
	a.sendWhole(r.Context())
}

// handleAnswer sends a request's answer to a caller that reconnects with the request's id,
// with any method: after a redirect, or with Last-Event-ID.
func (e *Entry) handleAnswer(w http.ResponseWriter, r *http.Request) {
	id := request.ID(r.PathValue("id"))
	wk, known := e.registry.get(id)
	if !known {
		e.refuse(w, r, request.NewProblem(request.CodeNoSuchAnswer, request.Unknown, "request %s is not here", id))
		return
	}
	from, p := parseLastEventID(r, len(wk.journal.Tokens()))
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	event.Log(r.Context(), e.deps.Log, slog.LevelInfo, event.CallerReturned,
		slog.String("request", string(id)), slog.Int("from", from))
	e.sendAnswer(w, r, wk, from)
}

// answerTTL is how long a finished answer is stored for callers that reconnect.
const answerTTL = 60 * time.Second
