package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"savoryreel.example/savoryreel/native"
)

// Finish reasons of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

var errCancelled = errors.New("request cancelled")

// chatRun is one request on its way through the engine.
type chatRun struct {
	id      string
	req     native.ChatRequest
	prompt  prompt
	seed    uint64
	resumed int // tokens of the answer that another engine made
	length  int // tokens of the whole answer
	finish  string
	usage   native.Usage
}

func (e *Engine) newChatRun(id string, req native.ChatRequest) *chatRun {
	c := &chatRun{
		id:     id,
		req:    req,
		prompt: newPrompt(req.Messages),
		seed:   answerSeed(req.Model, req.Messages),
		length: e.cfg.AnswerTokens,
		finish: finishStop,
	}
	if req.MaxTokens > 0 {
		c.length = req.MaxTokens
		c.finish = finishLength
	}
	if req.Resume != nil {
		c.resumed = len(req.Resume.Tokens)
	}
	c.length = max(c.length, c.resumed)
	c.usage.Prompt = c.prompt.totalTokens
	return c
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req native.ChatRequest
	if !readJSON(w, r, maxChatBodyBytes, &req) {
		return
	}
	if !e.validate(w, req) {
		return
	}
	t := e.batch.reserve(req.Priority)
	if t == nil {
		refuse(w, http.StatusTooManyRequests, DefaultRetryAfter, "queue_full", "no place in the engine's queue")
		return
	}
	id := r.Header.Get(native.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	ctx, done := e.requests.add(r.Context(), id)
	defer done()
	out := newChatWriter(w, e.newChatRun(id, req), e.faults)
	if e.answerChat(ctx, t, out) != nil {
		e.stats.recordCancel(id)
		abort()
	}
	if out.stalled {
		e.holdOpen(ctx)
	}
}

// answerChat runs the request and writes its answer; the slot is free after it.
func (e *Engine) answerChat(ctx context.Context, t *ticket, out *chatWriter) error {
	defer e.batch.release(t)
	out.writeHeader()
	if err := e.runChat(ctx, t, out.run, out.writeToken); err != nil {
		return err
	}
	e.stats.recordFinish(out.run.id) // before the end is written, so that whoever reads it finds it counted
	out.finish()
	return nil
}

// holdOpen keeps a stalled connection until its client goes: whatever lost track
// of it drops the engine's end of the stream too.
func (e *Engine) holdOpen(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.faults.done:
	}
	abort()
}

// accepts answers the request itself when the engine cannot run it.
func (e *Engine) validate(w http.ResponseWriter, req native.ChatRequest) bool {
	if e.faults.refusedByFault(w) {
		return false
	}
	if len(req.Messages) == 0 {
		refuse(w, http.StatusBadRequest, 0, "bad_request", "no messages")
		return false
	}
	e.mu.Lock()
	model := e.model
	e.mu.Unlock()
	if req.Model != model.name && !slices.Contains(model.adapters, req.Model) {
		refuse(w, http.StatusNotFound, 0, "model_not_found", "the engine holds no model or adapter "+req.Model)
		return false
	}
	return true
}

// runChat waits for a slot, prefills, and gives each token to emit.
func (e *Engine) runChat(ctx context.Context, t *ticket, c *chatRun, emit func(i int, token string)) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	if err := e.faults.waitThawed(ctx); err != nil {
		return err
	}
	e.stats.recordRun(c.id)
	if err := e.faults.crashOnMatch(promptText(c.req.Messages)); err != nil {
		return err
	}
	if err := e.prefill(ctx, c); err != nil {
		return err
	}
	return e.generate(ctx, c, emit)
}

// prefill takes the time of the prompt tokens that no cache holds.
func (e *Engine) prefill(ctx context.Context, c *chatRun) error {
	var kv kvRecord
	hasKV := false
	if resume := c.req.Resume; resume != nil && resume.Handle != "" {
		kv, hasKV = e.kv.get(resume.Handle)
		hasKV = hasKV && kv.Seed == c.seed
	}
	plan := planPrefill(c.prompt, e.cache.lookupAndStore(c.prompt), c.req.Resume, kv, hasKV)
	c.usage.Cached = plan.cached
	c.usage.Recomputed = plan.recomputed
	e.stats.recordPrefill(plan)
	prefillTime := e.cfg.FirstToken
	if e.cfg.PrefillRate > 0 {
		prefillTime += time.Duration(float64(plan.prefill) / e.cfg.PrefillRate * float64(time.Second))
	}
	if err := e.simulateWork(ctx, prefillTime); err != nil {
		return err
	}
	e.recordKV(c, c.resumed)
	return nil
}

// generate makes the tokens from the given ones on. The first comes with the
// end of the prefill, each further one after the batch's time per token.
func (e *Engine) generate(ctx context.Context, c *chatRun, emit func(i int, token string)) error {
	var text strings.Builder
	for i := 0; i < c.length; i++ {
		token := answerToken(c.seed, i)
		text.WriteString(token)
		if i < c.resumed {
			continue
		}
		if i > c.resumed {
			if err := e.simulateWork(ctx, e.tokenTime()); err != nil {
				return err
			}
		}
		if err := e.faults.waitThawed(ctx); err != nil {
			return err
		}
		e.stats.recordToken(time.Now())
		c.usage.Completion++
		e.recordKV(c, i+1)
		emit(i, token)
	}
	e.cacheAnswer(c, text.String())
	return nil
}

// cacheAnswer puts the conversation with its answer into the prefix cache,
// because the next turn of the chat begins with both.
func (e *Engine) cacheAnswer(c *chatRun, text string) {
	turn := native.Message{Role: "assistant", Content: text}
	e.cache.lookupAndStore(newPrompt(append(slices.Clone(c.req.Messages), turn)))
}

func (e *Engine) recordKV(c *chatRun, generated int) {
	e.kv.record(c.id, kvRecord{Seed: c.seed, Prompt: c.prompt.totalTokens, Generated: generated})
}

// tokenTime grows with the batch: every step computes one token of each.
func (e *Engine) tokenTime() time.Duration {
	running, _ := e.batch.counts()
	others := float64(max(0, running-1))
	return time.Duration(float64(e.cfg.TokenTime) * (1 + others*e.cfg.BatchSlowdown))
}

// work takes the time of some work, longer under the slow fault.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) error {
	return sleep(ctx, e.faults, time.Duration(float64(d)*e.faults.slowFactor()))
}

// wait takes d, and returns early with an error when ctx or the stand-in ends.
func sleep(ctx context.Context, faults *faultState, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-faults.done:
		return faults.endCause()
	}
}

func promptText(messages []native.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.requests.cancel(r.PathValue("id")) {
		writeJSON(w, http.StatusNotFound, native.Problem{Code: "request_not_found"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// chatWriter writes an answer, streamed or whole.
type chatWriter struct {
	w             http.ResponseWriter
	run           *chatRun
	faults        *faultState
	controller    *http.ResponseController
	text          strings.Builder
	writtenTokens int // tokens
	stalled       bool
}

func newChatWriter(w http.ResponseWriter, c *chatRun, faults *faultState) *chatWriter {
	return &chatWriter{w: w, run: c, faults: faults, controller: http.NewResponseController(w)}
}

// accept sends the head of a stream: the request has a place in the queue.
func (o *chatWriter) writeHeader() {
	o.w.Header().Set(native.HeaderRequestID, o.run.id)
	if !o.run.req.Stream {
		return
	}
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(http.StatusOK)
	_ = o.controller.Flush()
}

func (o *chatWriter) writeToken(i int, writeToken string) {
	if !o.run.req.Stream {
		o.text.WriteString(writeToken)
		return
	}
	delta := native.Delta{Content: writeToken}
	if i == o.run.resumed {
		delta.Role = "assistant"
	}
	o.writeEvent(native.ChunkChoice{Delta: delta}, nil)
	o.writtenTokens++
}

// finish ends the answer.
func (o *chatWriter) finish() {
	if !o.run.req.Stream {
		writeJSON(o.w, http.StatusOK, o.response())
		return
	}
	o.writeEvent(native.ChunkChoice{FinishReason: o.run.finish}, &o.run.usage)
	if o.stalled {
		return
	}
	_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
	_ = o.controller.Flush()
}

func (o *chatWriter) writeEvent(choice native.ChunkChoice, usage *native.Usage) {
	limit := o.faults.get().StallAfterTokens
	if limit > 0 && o.writtenTokens >= limit {
		o.stalled = true
	}
	if o.stalled {
		return
	}
	data, err := json.Marshal(native.ChatChunk{
		ID:      o.run.id,
		Object:  "chat.completion.chunk",
		Model:   o.run.req.Model,
		Choices: []native.ChunkChoice{choice},
		Usage:   usage,
	})
	if err != nil {
		abort()
	}
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, _ = o.w.Write(event) // a client that has gone ends the request's context
	_ = o.controller.Flush()
}

func (o *chatWriter) response() native.ChatResponse {
	return native.ChatResponse{
		ID:     o.run.id,
		Object: "chat.completion",
		Model:  o.run.req.Model,
		Choices: []native.Choice{{
			Message:      native.Message{Role: "assistant", Content: o.text.String()},
			FinishReason: o.run.finish,
		}},
		Usage: o.run.usage,
	}
}
