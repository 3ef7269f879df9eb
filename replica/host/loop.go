package host

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/replica"
)

// loopState is what only the loop touches: the requests it has taken on.
type loopState struct {
	term     uint64 // in which this replica leads and appended the requests; 0: none
	appended map[uint64]appended
	reads    map[uint64]*command // waiting for a majority, by read id
	transfer *command
	nextRead uint64
	finished []finished
	lost     int // replicas reported as lost
	grown    int // bytes of data applied since the last snapshot
}

// appended is a request whose entry is in the log.
type appended struct {
	request *request
	term    uint64
}

// finished is an outcome that is told once the loop's state is published, so
// that a caller finds its own proposal in Status and LastIndexOf.
type finished struct {
	request *request
	outcome outcome
}

func newLoopState() loopState {
	return loopState{
		appended: make(map[uint64]appended),
		reads:    make(map[uint64]*command),
	}
}

// Run drives the replica until ctx ends (nil) or it cannot go on (the error; the
// process must stop, see package storage). Call it once.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.cfg.TickInterval)
	defer ticker.Stop()
	defer h.stop()
	for {
		err := h.input(ctx, ticker.C)
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "replica %d: take input", h.cfg.ID)
		}
		if err := h.work(); err != nil {
			return trace.Wrap(err, "replica %d: work", h.cfg.ID)
		}
		h.settle()
		h.publish()
		h.tell()
	}
}

// input waits for one input and then takes all that have queued up meanwhile.
func (h *Host) input(ctx context.Context, ticks <-chan time.Time) error {
	if err := h.wait(ctx, ticks); err != nil {
		return err
	}
	for range min(roundLimit, len(h.inbox)+len(h.propose)+len(h.command)) {
		if err := h.takeQueued(); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) wait(ctx context.Context, ticks <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-ticks:
		h.core.Tick(h.now())
	case m := <-h.inbox:
		return h.core.Step(h.now(), m)
	case p := <-h.propose:
		h.takeProposal(p)
	case c := <-h.command:
		h.takeCommand(c)
	}
	return nil
}

func (h *Host) takeQueued() error {
	select {
	case m := <-h.inbox:
		return h.core.Step(h.now(), m)
	case p := <-h.propose:
		h.takeProposal(p)
	case c := <-h.command:
		h.takeCommand(c)
	default:
	}
	return nil
}

func (h *Host) now() time.Duration { return h.deps.Now().Sub(h.start) }

func (h *Host) takeProposal(p *proposal) {
	if !p.take() {
		return
	}
	at, err := h.core.Propose(p.kind, p.data)
	h.track(&p.request, at, err)
}

func (h *Host) takeCommand(c *command) {
	if !c.take() {
		return
	}
	switch {
	case c.change != nil:
		at, err := h.core.ProposeChange(*c.change)
		h.track(&c.request, at, err)
	case c.transfer != 0:
		h.takeTransfer(c)
	default:
		h.takeRead(c)
	}
}

// track notes an appended request, or ends one that was refused.
func (h *Host) track(r *request, at replica.Position, err error) {
	if err != nil {
		h.finish(r, nil, h.refusal(err))
		return
	}
	h.loop.term = at.Term
	h.loop.appended[at.Index] = appended{request: r, term: at.Term}
}

func (h *Host) takeTransfer(c *command) {
	err := h.core.Transfer(c.transfer)
	if errors.Is(err, replica.ErrNotLeader) {
		err = h.notLeader()
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

func (h *Host) takeRead(c *command) {
	h.loop.nextRead++
	if err := h.core.ReadIndex(h.loop.nextRead); err != nil {
		h.finish(&c.request, nil, h.refusal(err))
		return
	}
	h.loop.term = h.core.Term()
	h.loop.reads[h.loop.nextRead] = c
}

// refusal turns the core's error into the caller's.
func (h *Host) refusal(err error) error {
	if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrTransferring) {
		return h.notLeader()
	}
	return err
}

// notLeader names the leader to turn to, which is not this replica, even while
// it hands over.
func (h *Host) notLeader() error {
	leader := h.core.Leader()
	if leader == h.cfg.ID {
		leader = 0
	}
	return &NotLeaderError{Leader: leader}
}

// work does what the core asks for, in the order that replica.Ready demands.
func (h *Host) work() error {
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
		h.answerReads(rd.Reads)
		if err := h.snapshot(); err != nil {
			return err
		}
	}
}

func (h *Host) send(messages []replica.Message) {
	for _, m := range messages {
		h.deps.Transport.Send(m)
	}
}

// persist syncs what the messages of rd acknowledge, and then makes it known here.
func (h *Host) persist(rd replica.Ready) error {
	if rd.Snapshot != nil {
		if err := h.deps.Storage.Install(rd.HardState, *rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.MustSync {
		if err := h.deps.Storage.Save(rd.HardState, rd.Entries); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil || len(rd.Entries) > 0 {
		h.publishLast()
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
		h.loop.grown += len(e.Data)
		result, err := h.applyOne(e)
		h.applied(e, result, err)
	}
	return nil
}

func (h *Host) applyOne(e replica.Entry) (any, error) {
	if e.Kind < replica.KindApplication {
		return nil, nil
	}
	return h.deps.Machine.Apply(e)
}

// applied ends the request whose entry this is. Another term at its index means
// that a later leader has replaced the entry.
func (h *Host) applied(e replica.Entry, result any, err error) {
	a, ok := h.loop.appended[e.Index]
	if !ok {
		return
	}
	delete(h.loop.appended, e.Index)
	if a.term != e.Term {
		h.finish(a.request, nil, ErrUnknown)
		return
	}
	h.finish(a.request, result, err)
}

// answerReads ends the reads that a majority has confirmed. Their index is at
// most that of the last entry in rd.Committed, which is applied by now.
func (h *Host) answerReads(reads []replica.ReadState) {
	for _, r := range reads {
		if c, ok := h.loop.reads[r.ID]; ok {
			delete(h.loop.reads, r.ID)
			h.finish(&c.request, nil, nil)
		}
	}
}

// snapshot keeps the state machine's state now and then, so that the log, and
// with it a restart and the memory in use, stays small.
func (h *Host) snapshot() error {
	entries := h.core.AppliedIndex() - h.core.SnapshotIndex()
	due := entries >= h.cfg.SnapshotEvery || h.loop.grown >= h.cfg.SnapshotBytes
	if entries == 0 || !due {
		return nil
	}
	h.loop.grown = 0
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

// settle ends requests that can no longer succeed here.
func (h *Host) settle() {
	leads := h.core.Role() == replica.Leader
	if h.loop.term != 0 && (!leads || h.core.Term() != h.loop.term) {
		h.abandon(h.notLeader())
		h.loop.term = 0
	}
	h.settleTransfer(leads)
	h.reportLost()
}

// abandon ends all requests that depend on this replica's leadership.
func (h *Host) abandon(reads error) {
	for _, a := range h.loop.appended {
		h.finish(a.request, nil, ErrUnknown)
	}
	clear(h.loop.appended)
	for _, c := range h.loop.reads {
		h.finish(&c.request, nil, reads)
	}
	clear(h.loop.reads)
}

func (h *Host) settleTransfer(leads bool) {
	t := h.loop.transfer
	if t == nil || (leads && h.core.Transferring()) {
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

// reportLost logs a replica that came back without its data under its old id.
func (h *Host) reportLost() {
	lost := h.core.ReplicasWithLostLog()
	if len(lost) > h.loop.lost {
		h.deps.Logger.Error("replica has lost acknowledged entries; remove it and let it come back under a new id",
			slog.Any("peers", lost), slog.Uint64("replica", h.cfg.ID))
	}
	h.loop.lost = len(lost)
}

func (h *Host) finish(r *request, result any, err error) {
	h.loop.finished = append(h.loop.finished, finished{request: r, outcome: outcome{result: result, err: err}})
}

// tell delivers the outcomes of this round.
func (h *Host) tell() {
	for _, f := range h.loop.finished {
		f.request.done <- f.outcome
	}
	h.loop.finished = h.loop.finished[:0]
}

// stop ends every request that the loop has taken on. Those still queued end by
// themselves when they see stopped closed.
func (h *Host) stop() {
	h.abandon(ErrStopped)
	if t := h.loop.transfer; t != nil {
		h.finish(&t.request, nil, ErrStopped)
	}
	h.tell()
	h.mu.Lock()
	h.view.leased = false
	h.mu.Unlock()
	close(h.stopped)
}
