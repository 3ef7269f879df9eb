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

// Estimates of a chat request's cost in tokens, used until its answer is whole.
const (
	bytesPerToken       = 4   // of English text, the usual rule of thumb
	defaultAnswerTokens = 256 // tokens, where the caller sets no bound
	maxAnswerTokens     = 128 << 10
)

// handleChat takes a model call, streamed or whole.
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

// acceptChat turns the caller's request into work that runs, or refuses it.
func (e *Entry) acceptChat(w http.ResponseWriter, c *call) (*work, *request.Problem) {
	body, p := readBody(w, c.http, contract.MaxMaxBody)
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

// decodeChat reads a chat request strictly where it matters and leniently
// elsewhere: clients of the OpenAI API send many fields that no engine here
// knows, and refusing them would refuse the clients.
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

func promptTokens(messages []native.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Content)
	}
	return n/bytesPerToken + 1
}

func answerTokens(c native.ChatRequest) int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return defaultAnswerTokens
}

// startChat queues an admitted request and starts its work.
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

// newWork builds the work of a request. tokens are those that another entry
// has received already.
func (e *Entry) newWork(s *contract.Service, req *request.Request, chat native.ChatRequest, tokens []string, weight int) (*work, error) {
	l, err := e.lanes.get(laneKeyOf(s))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(e.ctx, req.Deadline)
	t := &ticket{
		request: req, weight: weight, lane: l, decision: make(chan decision, 1),
		route: route.Request{
			Prefixes: native.PrefixHashes(chat.Messages), PromptTokens: promptTokens(chat.Messages),
			Adapter: s.Adapter, Version: s.Version, Zone: e.cfg.Zone, Region: e.cfg.Region,
		},
	}
	return &work{request: req, journal: request.NewJournal(tokens), ticket: t, ctx: ctx, cancel: cancel}, nil
}

// engineRequest is what the engine is asked: the caller's request under the
// engine's own name for the model, and the priority of the request's class.
func (e *Entry) engineRequest(s *contract.Service, req *request.Request, chat native.ChatRequest) native.ChatRequest {
	chat.Model = s.Model
	if s.Adapter != "" {
		chat.Model = s.Adapter
	}
	chat.Priority = req.Class.Rank()
	return chat
}

// launch registers the work and runs it in a goroutine of its own: the answer
// belongs to the request and not to one caller's connection. It reports false
// when the request runs here already.
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

// awaitGrant waits for the queue's decision. It returns nil when the request
// was refused, which ends its journal, or when it was taken out of the queue to
// be handed over.
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
		return // the entry that took it over tells how it ended
	case end.Problem != nil:
		outcome, code = end.Problem.Outcome, end.Problem.Code
	}
	e.logEnd(wk.request, outcome, code, len(wk.journal.Tokens()))
	wk.markEnded(e.deps.Now())
}

// sendAnswer sends the answer from token number from on to one caller.
func (e *Entry) sendAnswer(w http.ResponseWriter, r *http.Request, wk *work, from int) {
	wk.addFollower()
	defer func() {
		if wk.removeFollower(e.deps.Now()) && wk.journal.Ended() == nil {
			event.Log(e.ctx, e.deps.Log, slog.LevelInfo, event.CallerLeft, slog.String("request", string(wk.request.ID)))
			wk.cancel() // its only caller has left: the engine's slot goes to somebody who waits
		}
	}()
	a := &answerWriter{entry: e, w: w, work: wk, next: from}
	if wk.request.Stream {
		a.stream(r.Context())
		return
	}
	a.sendWhole(r.Context())
}

// handleAnswer gives a caller that comes back the answer of its request, by the
// request's id: after a redirect, with any method, or with Last-Event-ID.
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

// answerTTL is how long an answer is held for a caller whose connection broke.
const answerTTL = 60 * time.Second
