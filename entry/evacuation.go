package entry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/evacuate"
	"savoryreel.example/savoryreel/policy/route"
)

// errMoved is why an attempt ends when its request leaves a reclaimed server
// before that server ends.
var errMoved = errors.New("moved off a leaving backend server")

// What an entry assumes of a KV cache until an engine has told.
const (
	// kvBytesPerToken is that of the stand-in engine; models of 7 to 70 billion
	// parameters with grouped heads need 60 to 330 KiB.
	kvBytesPerToken = 128 << 10
	// kvBytesPerSecond is bytes a second between two engines: a 10 Gbit/s link.
	kvBytesPerSecond  = 1.25e9
	kvTransferTimeout = 5 * time.Second
)

// evacuations moves requests off backend servers that have given notice.
//
// A server that is reclaimed takes the KV caches of its requests along. Resumed
// only when it has gone, each answer stalls until prompt and tokens so far have
// been prefilled again, all of them in the same second on the servers that are
// left. Moved within the notice, the longest take their cache along, and the
// others are spread over the notice.
type evacuations struct {
	entry   *Entry
	planner *evacuate.Planner
}

func newEvacuations(e *Entry) (*evacuations, error) {
	p, err := evacuate.New(evacuate.DefaultConfig())
	if err != nil {
		return nil, err
	}
	return &evacuations{entry: e, planner: p}, nil
}

// serverLeaving plans the moves off a server that has just given notice, and makes
// them in time. A server that stops without a time set keeps its requests: they
// end there.
func (v *evacuations) serverLeaving(s *instance.Server) {
	notice := time.Duration(s.LeavingIn) * time.Millisecond
	if notice <= 0 {
		return
	}
	works := v.workOn(s)
	if len(works) == 0 {
		return
	}
	plan := v.planner.Decide(v.input(notice, works))
	event.Log(v.entry.ctx, v.entry.deps.Log, slog.LevelInfo, event.EvacuationPlanned,
		slog.String("server", s.ID), slog.Duration("notice", notice), slog.Int("requests", len(works)),
		slog.Int("recomputed", plan.RecomputedTokens))
	for _, m := range plan.Moves {
		w := works[m.ID]
		time.AfterFunc(m.Start, func() { w.moveOff(s.ID, s.Incarnation, m.Method != evacuate.MethodRecompute) })
	}
}

// workOn lists the work that runs workOn a server, by request id.
func (v *evacuations) workOn(s *instance.Server) map[string]*work {
	out := map[string]*work{}
	for _, w := range v.entry.registry.all() {
		if w.runsOn(s.ID, s.Incarnation) && w.journal.Ended() == nil {
			out[string(w.request.ID)] = w
		}
	}
	return out
}

func (v *evacuations) input(notice time.Duration, works map[string]*work) evacuate.Input {
	entries := max(1, len(v.entry.servingEntries()))
	in := evacuate.Input{
		Notice: notice, Bandwidth: kvBytesPerSecond / float64(entries), PrefillRate: route.DefaultConfig().PrefillRate,
	}
	for id, w := range works {
		tokens := w.heldTokens()
		in.Requests = append(in.Requests, evacuate.Request{ID: id, Tokens: tokens, Bytes: int64(tokens) * kvBytesPerToken})
	}
	return in
}

// heldTokens is how many tokens a server holds for the work: prompt and answer so far.
func (w *work) heldTokens() int {
	return w.ticket.route.PromptTokens + len(w.journal.Tokens())
}

// runsOn reports whether the work's attempt is on this life of a server.
func (w *work) runsOn(server string, incarnation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentGrant != nil && w.currentGrant.verdict.Server == server && w.currentGrant.verdict.Incarnation == incarnation
}

// moveOff ends the attempt on a server, if it still runs there, so that the work
// goes on elsewhere; with its KV cache if carry is set.
func (w *work) moveOff(server string, incarnation uint64, withKV bool) {
	if !w.runsOn(server, incarnation) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused != nil {
		return // it is being handed over
	}
	if withKV {
		w.kvSource = w.currentGrant.verdict.Address
	}
	w.interrupt(errMoved)
}

// setCurrent notes where the work's attempt runs; nil: nowhere.
func (w *work) setCurrent(g *grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.currentGrant = g
}

// takeKVSource returns, once, the address of the engine whose KV cache is to be
// taken along, or the empty text.
func (w *work) takeKVSource() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := w.kvSource
	w.kvSource = ""
	return from
}

// transferKV brings the KV cache of w's request from the engine that it left to the
// one that goes on with it, and returns its handle there; empty when that did
// not work, and the tokens are prefilled again.
func (r *runner) transferKV(ctx context.Context, w *work, to string) string {
	from := w.takeKVSource()
	if from == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	exported, err := r.engines.ExportKV(ctx, from, string(w.request.ID))
	if err == nil {
		exported, err = r.engines.ImportKV(ctx, to, native.ImportRequest{From: from, Handle: exported.Handle})
	}
	if err != nil {
		event.Log(ctx, r.log, slog.LevelWarn, event.CarryFailed,
			slog.String("request", string(w.request.ID)), slog.String("from", from), slog.String("error", err.Error()))
		return ""
	}
	r.metrics.carried.Add(exported.Tokens)
	return exported.Handle
}

// answerCost is a chat request's work in tokens of answer. Prompt tokens count
// for as many as a slot generates in the time that their prefill takes.
func answerCost(prompt, answer int) int {
	return answer + prompt/promptTokensPerAnswerToken + 1
}

// promptTokensPerAnswerToken is how many prompt tokens take as long as one token of the
// answer: 8,000 tokens a second prefilled, 46 ms between tokens.
const promptTokensPerAnswerToken = 368
