package host

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/replica"
)

const (
	// inboxSize is the capacity of the queue of received messages; messages above it
	// are dropped.
	inboxSize = 1_024
	// maxInputsPerRound bounds the inputs handled before the next tick, so that a
	// stream of inputs does not delay ticks.
	maxInputsPerRound = 1_024
)

// Host runs one replica. Its methods are safe for concurrent use. Before a planned
// stop of the leader call TransferLeadership, so that callers don't have to wait
// for an election.
type Host struct {
	cfg       Config
	deps      Deps
	core      *replica.Core // used by Run's goroutine only, as is loop
	startTime time.Time
	loop      loopState

	inbox     chan replica.Message
	proposals chan *proposal
	commands  chan *command
	pending   pendingProposals
	stopped   chan struct{}

	mu   sync.RWMutex // guards view
	view view
}

// New returns a Host that continues from the state in the storage. If the storage
// is empty, the replica starts a new group of cfg.Voters if it is one of them;
// otherwise it waits to be added to a group.
func New(cfg Config, deps Deps) (*Host, error) {
	cfg = cfg.withDefaults()
	if err := errors.Join(cfg.validate(), deps.validate()); err != nil {
		return nil, trace.Wrap(err, "start replica %d", cfg.ID)
	}
	h := &Host{
		cfg: cfg, deps: deps, startTime: deps.Now(),
		loop:      newLoopState(),
		inbox:     make(chan replica.Message, inboxSize),
		proposals: make(chan *proposal, cfg.MaxPending),
		commands:  make(chan *command, cfg.MaxPending),
		stopped:   make(chan struct{}),
	}
	if err := h.load(); err != nil {
		return nil, trace.Wrap(err, "start replica %d", cfg.ID)
	}
	h.publishLogState()
	h.publishStatus()
	return h, nil
}

func (h *Host) load() error {
	state := h.deps.Storage.State()
	empty := state.HardState.Term == 0 && state.LastIndex() == 0 && len(state.Snapshot.Meta.Members.Voters) == 0
	if empty {
		if err := h.bootstrap(&state); err != nil {
			return err
		}
	}
	if state.Snapshot.Meta.Index > 0 {
		if err := h.deps.Machine.Restore(state.Snapshot.Data); err != nil {
			return err
		}
	}
	core, err := replica.NewCore(h.cfg.coreConfig(h.deps.Rand), state, 0)
	h.core = core
	return err
}

// bootstrap saves the initial membership as a snapshot at index 0, so that later
// changes of the settings don't alter it.
func (h *Host) bootstrap(state *replica.State) error {
	if !slices.Contains(h.cfg.Voters, h.cfg.ID) {
		return nil
	}
	voters := slices.Clone(h.cfg.Voters)
	state.Snapshot.Meta.Members = replica.Members{Voters: voters}
	return h.deps.Storage.SaveSnapshot(state.Snapshot)
}

// Step queues a message that the transport received. It never blocks: if the
// queue is full, the message is dropped.
func (h *Host) Step(m replica.Message) {
	select {
	case h.inbox <- m:
	default:
	}
}

// Propose appends an entry, waits until this replica has applied it, and returns
// the result and error of Machine.Apply. After *NotLeaderError, ErrBusy,
// ErrStopped, ErrTooLarge, ErrReservedKind or the context's error, the entry was
// not appended; after ErrOutcomeUnknown it may still be committed. The caller must
// not change data afterwards.
func (h *Host) Propose(ctx context.Context, kind uint8, data []byte) (any, error) {
	if kind < replica.KindApplication {
		return nil, trace.Wrap(ErrReservedKind, "propose kind %d", kind)
	}
	if len(data) > h.cfg.MaxEntryBytes {
		return nil, trace.Wrap(ErrTooLarge, "propose %d bytes", len(data))
	}
	defer h.pending.release(len(data))
	if !h.pending.reserve(len(data), h.cfg) {
		return nil, ErrBusy
	}
	p := &proposal{request: newRequest(), kind: kind, data: data}
	select {
	case h.proposals <- p:
	default:
		return nil, ErrBusy
	}
	return p.wait(ctx, h.stopped, ErrOutcomeUnknown)
}

// ReadBarrier returns once this replica has confirmed that it is the leader and
// has applied all entries committed before the call. A read of the state machine
// after it is linearizable. Errors: *NotLeaderError, ErrBusy, ErrStopped or the
// context's.
func (h *Host) ReadBarrier(ctx context.Context) error {
	return h.runCommand(ctx, &command{request: newRequest()}, nil)
}

// ChangeMembers adds, promotes or removes one replica and waits until the change
// is committed. Errors: those of Propose, and replica.ErrChangePending,
// ErrNotCaughtUp, ErrBadChange and ErrRemoveLeader.
func (h *Host) ChangeMembers(ctx context.Context, ch replica.Change) error {
	c := &command{request: newRequest(), change: &ch}
	return trace.Wrap(h.runCommand(ctx, c, ErrOutcomeUnknown), "change members: replica %d", ch.ID)
}

// TransferLeadership transfers leadership to another voter and returns once that
// one is the leader. It may take two election timeouts.
// Errors: *NotLeaderError, replica.ErrNotVoter, replica.ErrTransferring,
// ErrTransferFailed, ErrBusy, ErrStopped or the context's.
func (h *Host) TransferLeadership(ctx context.Context, to uint64) error {
	if to == 0 {
		return trace.Wrap(replica.ErrNotVoter, "transfer leadership")
	}
	c := &command{request: newRequest(), transfer: to}
	return trace.Wrap(h.runCommand(ctx, c, nil), "transfer leadership to replica %d", to)
}

// runCommand queues c and waits for its outcome. If ctx ends after the loop has
// claimed c, it returns errIfClaimed, or the context's error if that is nil.
func (h *Host) runCommand(ctx context.Context, c *command, errIfClaimed error) error {
	select {
	case h.commands <- c:
	default:
		return ErrBusy
	}
	_, err := c.wait(ctx, h.stopped, errIfClaimed)
	return err
}
