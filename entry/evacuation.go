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

// errMoved is the cause of the end of an attempt whose request is moved off a reclaimed
// server.
var errMoved = errors.New("moved off a leaving backend server")

// Estimates of the size and the transfer of KV caches, and the bound of a transfer.
const (
	// kvBytesPerToken is that of the simulated engine. Models of 7 to 70 billion parameters
	// with grouped-query attention need 60 to 330 KiB.
	kvBytesPerToken = 128 << 10
	// kvBytesPerSecond is the bandwidth between two engines, that of a 10 Gbit/s link.
	kvBytesPerSecond  = 1.25e9
	kvTransferTimeout = 5 * time.Second
	// moveRetryInterval is how often a request that runs on a leaving server looks for room in
	// the retry budgets.
	moveRetryInterval = 100 * time.Millisecond
)

// evacuations moves requests off backend servers that are about to be reclaimed.
//
// A reclaimed server takes the KV caches of its requests with it. If the requests were
// resumed only after its end, all of them would have their prompts and tokens prefilled
// again at the same time on the remaining servers, and their answers would stall. Within
// the notice, the KV caches of the longest requests can be transferred, and the prefills of
// the others are distributed over the notice.
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

// serverLeaving plans and schedules the moves off a server that has announced its end. A
// server that leaves without a time limit keeps its requests until they end.
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

// workOn returns the unfinished work on a server, by request id.
func (v *evacuations) workOn(s *instance.Server) map[string]*work {
	out := map[string]*work{}
	for _, w := range v.entry.registry.all() {
		if w.runsOn(s.ID, s.Incarnation) && w.journal.Ended() == nil {
			out[string(w.request.ID)] = w
		}
	}
	return out
}

// input returns the planner's input. Each entry plans with its fraction of the bandwidth.
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

// heldTokens returns the number of tokens in the KV cache of the request: its prompt and
// the answer so far.
func (w *work) heldTokens() int {
	return w.ticket.route.PromptTokens + len(w.journal.Tokens())
}

// runsOn reports whether the work's attempt runs on this incarnation of a server.
func (w *work) runsOn(server string, incarnation uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentGrant != nil && w.currentGrant.verdict.Server == server && w.currentGrant.verdict.Incarnation == incarnation
}

// moveOff ends the attempt on a server, if it still runs there, so that the work continues
// on another one. If withKV is set, its KV cache is to be transferred there.
func (w *work) moveOff(server string, incarnation uint64, withKV bool) {
	if !w.runsOn(server, incarnation) {
		return
	}
	if !w.ticket.sends.allowed() {
		time.AfterFunc(moveRetryInterval, func() { w.moveOff(server, incarnation, withKV) })
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

// setCurrent records the grant of the running attempt, or nil if none runs.
func (w *work) setCurrent(g *grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.currentGrant = g
}

// takeKVSource returns the address of the engine whose KV cache is to be transferred, or an
// empty string, and clears it.
func (w *work) takeKVSource() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := w.kvSource
	w.kvSource = ""
	return from
}

// setKVSource restores the address after a transfer that has not begun.
func (w *work) setKVSource(from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kvSource = from
}

// transferKV transfers the KV cache of w's request to the engine of g and returns its handle
// there. The handle is empty if nothing is to be transferred or the transfer fails; then the
// tokens are prefilled again. The error is native.ErrWithdrawn if the engine takes no more
// requests; the transfer then waits for the next attempt.
func (r *runner) transferKV(ctx context.Context, w *work, g *grant) (string, error) {
	from := w.takeKVSource()
	if from == "" {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	exported, err := r.engines.ExportKV(ctx, from, string(w.request.ID))
	if err == nil {
		exported, err = r.importKV(ctx, g, native.ImportRequest{From: from, Handle: exported.Handle})
	}
	if errors.Is(err, native.ErrWithdrawn) {
		w.setKVSource(from)
		return "", err
	}
	if err != nil {
		event.Log(ctx, r.log, slog.LevelWarn, event.CarryFailed,
			slog.String("request", string(w.request.ID)), slog.String("from", from), slog.String("error", err.Error()))
		return "", nil
	}
	r.metrics.carried.Add(exported.Tokens)
	return exported.Handle, nil
}

// importKV makes the engine of g import a KV cache.
func (r *runner) importKV(ctx context.Context, g *grant, from native.ImportRequest) (native.ExportReply, error) {
	imported, err := r.engines.ImportKV(native.WithMaySend(ctx, g.maySend), g.verdict.Address, from)
	if err != nil {
		r.lanes.heed(g.server(), native.NoticeOfError(err))
	}
	return imported, err
}

// answerCost returns the work of a chat request, in tokens of answer. Prompt tokens are
// converted by the time that their prefill takes.
func answerCost(prompt, answer int) int {
	return answer + prompt/promptTokensPerAnswerToken + 1
}

// promptTokensPerAnswerToken is how many prompt tokens are prefilled in the time of one
// answer token: 8,000 per second at 46 ms per token.
const promptTokensPerAnswerToken = 368
