package host

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/replica"
)

// loopState holds the requests that the loop has claimed. Only the loop uses it.
type loopState struct {
	leaderTerm         uint64 // term in which the requests were claimed; 0: none
	appended           map[uint64]appendedRequest
	reads              map[uint64]*command // waiting for confirmation by a majority, by read ID
	transfer           *command
	lastReadID         uint64
	finished           []finishedRequest
	lostReplicas       int // replicas last logged as having lost their log
	bytesSinceSnapshot int // of entry data applied
}

// appendedRequest is a request whose entry is in the log.
type appendedRequest struct {
	request *request
	term    uint64
}

// finishedRequest is an outcome to deliver after publishStatus, so that a caller
// sees the effect of its own request in Status.
type finishedRequest struct {
	request *request
	outcome outcome
}

func newLoopState() loopState {
	return loopState{
		appended: make(map[uint64]appendedRequest),
		reads:    make(map[uint64]*command),
	}
}

// Run runs the replica until ctx ends, and then returns nil. It returns an error if
// the replica cannot continue; the process must stop then (see package storage).
// It may be called once.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.cfg.TickInterval)
	defer ticker.Stop()
	defer h.stop()
	for {
		err := h.handleInputs(ctx, ticker.C)
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "replica %d: handle input", h.cfg.ID)
		}
		if err := h.processReady(); err != nil {
			return trace.Wrap(err, "replica %d: process updates", h.cfg.ID)
		}
		h.failStaleRequests()
		h.publishStatus()
		h.deliverOutcomes()
	}
}

// handleInputs waits for one input and handles it and all that are queued, up to
// maxInputsPerRound.
func (h *Host) handleInputs(ctx context.Context, ticks <-chan time.Time) error {
	if err := h.handleNextInput(ctx, ticks); err != nil {
		return err
	}
	for range min(maxInputsPerRound, len(h.inbox)+len(h.proposals)+len(h.commands)) {
		if err := h.handleQueuedInput(); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) handleNextInput(ctx context.Context, ticks <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-ticks:
		h.core.Tick(h.now())
	case m := <-h.inbox:
		return h.core.Step(h.now(), m)
	case p := <-h.proposals:
		h.handleProposal(p)
	case c := <-h.commands:
		h.handleCommand(c)
	}
	return nil
}

func (h *Host) handleQueuedInput() error {
	select {
	case m := <-h.inbox:
		return h.core.Step(h.now(), m)
	case p := <-h.proposals:
		h.handleProposal(p)
	case c := <-h.commands:
		h.handleCommand(c)
	default:
	}
	return nil
}

func (h *Host) now() time.Duration { return h.deps.Now().Sub(h.startTime) }

func (h *Host) handleProposal(p *proposal) {
	if !p.claim() {
		return
	}
	pos, err := h.core.Propose(p.kind, p.data)
	h.trackAppended(&p.request, pos, err)
}

func (h *Host) handleCommand(c *command) {
	if !c.claim() {
		return
	}
	switch {
	case c.change != nil:
		pos, err := h.core.ProposeChange(*c.change)
		h.trackAppended(&c.request, pos, err)
	case c.transfer != 0:
		h.startTransfer(c)
	default:
		h.startRead(c)
	}
}

// trackAppended records an appended request, or finishes it with err if it was
// refused.
func (h *Host) trackAppended(r *request, pos replica.Position, err error) {
	if err != nil {
		h.finish(r, nil, h.callerError(err))
		return
	}
	h.loop.leaderTerm = pos.Term
	h.loop.appended[pos.Index] = appendedRequest{request: r, term: pos.Term}
}

func (h *Host) startTransfer(c *command) {
	err := h.core.Transfer(c.transfer)
	if errors.Is(err, replica.ErrNotLeader) {
		err = h.notLeaderError()
	}
	if err != nil {
		h.finish(&c.request, nil, err)
		return
	}
	if old := h.loop.transfer; old != nil {
		h.finish(&old.request, nil, ErrTransferFailed)
	}
	h.loop.transfer = c
}

func (h *Host) startRead(c *command) {
	h.loop.lastReadID++
	if err := h.core.ReadIndex(h.loop.lastReadID); err != nil {
		h.finish(&c.request, nil, h.callerError(err))
		return
	}
	h.loop.leaderTerm = h.core.Term()
	h.loop.reads[h.loop.lastReadID] = c
}

// callerError converts an error of the core to the one that the caller gets.
func (h *Host) callerError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrTransferring) {
		return h.notLeaderError()
	}
	return err
}

// notLeaderError returns a NotLeaderError with the current leader. During a
// transfer, when this replica still leads but accepts nothing, the leader is 0.
func (h *Host) notLeaderError() error {
	leader := h.core.Leader()
	if leader == h.cfg.ID {
		leader = 0
	}
	return &NotLeaderError{Leader: leader}
}

// processReady persists, sends and applies the core's updates in the order that
// replica.Ready requires.
func (h *Host) processReady() error {
	for {
		rd, ok := h.core.Ready()
		if !ok {
			return nil
		}
		h.send(rd.Early)
		if err := h.persist(rd); err != nil {
			return err
		}
		h.send(rd.Messages)
		if err := h.apply(rd); err != nil {
			return err
		}
		h.core.Advance(rd)
		h.finishReads(rd.Reads)
		if err := h.snapshotIfDue(); err != nil {
			return err
		}
	}
}

func (h *Host) send(messages []replica.Message) {
	for _, m := range messages {
		h.deps.Transport.Send(m)
	}
}

// persist syncs rd and then publishes the new end of the log. It must return
// before rd.Messages are sent, since they acknowledge the entries.
func (h *Host) persist(rd replica.Ready) error {
	if rd.Snapshot != nil {
		if err := h.deps.Storage.InstallSnapshot(rd.HardState, *rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.MustSync {
		if err := h.deps.Storage.Save(rd.HardState, rd.Entries); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil || len(rd.Entries) > 0 {
		h.publishLogState()
	}
	return nil
}

func (h *Host) apply(rd replica.Ready) error {
	if rd.Snapshot != nil {
		if err := h.deps.Machine.Restore(rd.Snapshot.Data); err != nil {
			return err
		}
	}
	for _, e := range rd.Committed {
		h.loop.bytesSinceSnapshot += len(e.Data)
		result, err := h.applyEntry(e)
		h.finishApplied(e, result, err)
	}
	return nil
}

func (h *Host) applyEntry(e replica.Entry) (any, error) {
	if e.Kind < replica.KindApplication {
		return nil, nil
	}
	return h.deps.Machine.Apply(e)
}

// finishApplied finishes the request that appended e, if any. If the term differs,
// a later leader has overwritten the request's entry.
func (h *Host) finishApplied(e replica.Entry, result any, err error) {
	a, ok := h.loop.appended[e.Index]
	if !ok {
		return
	}
	delete(h.loop.appended, e.Index)
	if a.term != e.Term {
		h.finish(a.request, nil, ErrOutcomeUnknown)
		return
	}
	h.finish(a.request, result, err)
}

// finishReads finishes the reads that a majority has confirmed. Their read index is
// at most that of the last entry in rd.Committed, which has been applied.
func (h *Host) finishReads(reads []replica.ReadState) {
	for _, r := range reads {
		if c, ok := h.loop.reads[r.ID]; ok {
			delete(h.loop.reads, r.ID)
			h.finish(&c.request, nil, nil)
		}
	}
}

// snapshotIfDue saves a snapshot and compacts the log if enough entries or bytes
// were applied since the last one. This bounds the memory and the restart time.
func (h *Host) snapshotIfDue() error {
	entryCount := h.core.AppliedIndex() - h.core.SnapshotIndex()
	due := entryCount >= h.cfg.SnapshotEvery || h.loop.bytesSinceSnapshot >= h.cfg.SnapshotBytes
	if entryCount == 0 || !due {
		return nil
	}
	h.loop.bytesSinceSnapshot = 0
	data, err := h.deps.Machine.Snapshot()
	if err != nil {
		return err
	}
	s := replica.Snapshot{Meta: h.core.SnapshotMeta(), Data: data}
	if err := h.deps.Storage.SaveSnapshot(s); err != nil {
		return err
	}
	h.core.Compact(s, h.cfg.KeepEntries, h.cfg.KeepBytes)
	return nil
}

// failStaleRequests finishes the requests of an earlier term and a transfer that has
// ended.
func (h *Host) failStaleRequests() {
	isLeader := h.core.Role() == replica.Leader
	if h.loop.leaderTerm != 0 && (!isLeader || h.core.Term() != h.loop.leaderTerm) {
		h.failRequests(h.notLeaderError())
		h.loop.leaderTerm = 0
	}
	h.finishTransfer(isLeader)
	h.logLostReplicas()
}

// failRequests finishes all proposals with ErrOutcomeUnknown and all reads with
// readErr.
func (h *Host) failRequests(readErr error) {
	for _, a := range h.loop.appended {
		h.finish(a.request, nil, ErrOutcomeUnknown)
	}
	clear(h.loop.appended)
	for _, c := range h.loop.reads {
		h.finish(&c.request, nil, readErr)
	}
	clear(h.loop.reads)
}

// finishTransfer finishes a transfer once a leader is known, unless it is still
// under way.
func (h *Host) finishTransfer(isLeader bool) {
	t := h.loop.transfer
	if t == nil || (isLeader && h.core.Transferring()) {
		return
	}
	leader := h.core.Leader()
	switch {
	case leader == t.transfer:
		h.finish(&t.request, nil, nil)
	case leader != 0:
		h.finish(&t.request, nil, ErrTransferFailed)
	default:
		return
	}
	h.loop.transfer = nil
}

// logLostReplicas logs an error when further replicas have restarted without their
// data under their old ID.
func (h *Host) logLostReplicas() {
	lost := h.core.ReplicasWithLostLog()
	if len(lost) > h.loop.lostReplicas {
		h.deps.Logger.Error("replica lost acknowledged entries; remove it and add it again with a new ID",
			slog.Any("peers", lost), slog.Uint64("replica", h.cfg.ID))
	}
	h.loop.lostReplicas = len(lost)
}

// finish sets the outcome of a request; deliverOutcomes sends it to the caller.
func (h *Host) finish(r *request, result any, err error) {
	h.loop.finished = append(h.loop.finished, finishedRequest{request: r, outcome: outcome{result: result, err: err}})
}

// deliverOutcomes sends the outcomes of this round to the callers.
func (h *Host) deliverOutcomes() {
	for _, f := range h.loop.finished {
		f.request.done <- f.outcome
	}
	h.loop.finished = h.loop.finished[:0]
}

// stop finishes all requests that the loop has claimed. Callers of queued requests
// return when h.stopped is closed.
func (h *Host) stop() {
	h.failRequests(ErrStopped)
	if t := h.loop.transfer; t != nil {
		h.finish(&t.request, nil, ErrStopped)
	}
	h.deliverOutcomes()
	h.mu.Lock()
	h.view.hasLease = false
	h.mu.Unlock()
	close(h.stopped)
}
