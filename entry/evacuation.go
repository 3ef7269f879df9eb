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
	// kvBandwidth is bytes a second between two engines: a 10 Gbit/s link.
	kvBandwidth = 1.25e9
	kvTimeout   = 5 * time.Second
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

// leaving plans the moves off a server that has just given notice, and makes
// them in time. A server that stops without a time set keeps its requests: they
// end there.
func (v *evacuations) leaving(s *instance.Server) {
	notice := time.Duration(s.LeavingIn) * time.Millisecond
	if notice <= 0 {
		return
	}
	on := v.on(s)
	if len(on) == 0 {
		return
	}
	plan := v.planner.Decide(v.input(notice, on))
	event.Log(v.entry.ctx, v.entry.deps.Log, slog.LevelInfo, event.EvacuationPlanned,
		slog.String("server", s.ID), slog.Duration("notice", notice), slog.Int("requests", len(on)),
		slog.Int("recomputed", plan.RecomputedTokens))
	for _, m := range plan.Moves {
		w := on[m.ID]
		time.AfterFunc(m.Start, func() { w.moveOff(s.ID, s.Incarnation, m.Method != evacuate.MethodRecompute) })
	}
}

// on lists the work that runs on a server, by request id.
func (v *evacuations) on(s *instance.Server) map[string]*work {
	out := map[string]*work{}
	for _, w := range v.entry.registry.all() {
		if w.runsOn(s.ID, s.Incarnation) && w.journal.Ended() == nil {
			out[string(w.request.ID)] = w
		}
	}
	return out
}

func (v *evacuations) input(notice time.Duration, on map[string]*work) evacuate.Input {
	entries := max(1, len(v.entry.servingEntries()))
	in := evacuate.Input{
		Notice: notice, Bandwidth: kvBandwidth / float64(entries), PrefillRate: route.DefaultConfig().PrefillRate,
	}
	for id, w := range on {
		tokens := w.held()
		in.Requests = append(in.Requests, evacuate.Request{ID: id, Tokens: tokens, Bytes: int64(tokens) * kvBytesPerToken})
	}
	return in
}

// held is how many tokens a server holds for the work: prompt and answer so far.
func (w *work) held() int {
	return w.ticket.route.PromptTokens + len(w.journal.Tokens())
}

// runsOn reports whether the work's attempt is on this life of a server.
func (w *work) runsOn(server string, incarnation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current != nil && w.current.verdict.Server == server && w.current.verdict.Incarnation == incarnation
}

// moveOff ends the attempt on a server, if it still runs there, so that the work
// goes on elsewhere; with its KV cache if carry is set.
func (w *work) moveOff(server string, incarnation uint64, carry bool) {
	if !w.runsOn(server, incarnation) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parked != nil {
		return // it is being handed over
	}
	if carry {
		w.carryFrom = w.current.verdict.Address
	}
	w.interrupt(errMoved)
}

// setCurrent notes where the work's attempt runs; nil: nowhere.
func (w *work) setCurrent(g *grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = g
}

// takeCarry returns, once, the address of the engine whose KV cache is to be
// taken along, or the empty text.
func (w *work) takeCarry() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := w.carryFrom
	w.carryFrom = ""
	return from
}

// carry brings the KV cache of w's request from the engine that it left to the
// one that goes on with it, and returns its handle there; empty when that did
// not work, and the tokens are prefilled again.
func (r *runner) carry(ctx context.Context, w *work, to string) string {
	from := w.takeCarry()
	if from == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
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
	return answer + prompt/promptPerAnswer + 1
}

// promptPerAnswer is how many prompt tokens take as long as one token of the
// answer: 8,000 tokens a second prefilled, 46 ms between tokens.
const promptPerAnswer = 368
