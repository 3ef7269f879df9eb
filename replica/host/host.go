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
	inboxSize = 1_024 // messages received and not yet handled; more are dropped
	// roundLimit bounds the inputs of one round, so that ticks are not starved.
	maxInputsPerRound = 1_024
)

// Host runs one replica. Its methods are safe for concurrent use. Before a planned
// stop of the leader call TransferLeadership: proposals go on until the hand-over,
// which takes milliseconds, instead of stopping for an election.
type Host struct {
	cfg       Config
	deps      Deps
	core      *replica.Core // the loop's, as is loop
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

// New returns a Host that goes on from what the storage holds. On an empty one
// it starts a new group of cfg.Voters if it is among them, else it waits to be
// added to one.
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

// found writes the first membership as a snapshot before the first entry, so
// that later changes of the settings cannot alter it.
func (h *Host) bootstrap(state *replica.State) error {
	if !slices.Contains(h.cfg.Voters, h.cfg.ID) {
		return nil
	}
	voters := slices.Clone(h.cfg.Voters)
	state.Snapshot.Meta.Members = replica.Members{Voters: voters}
	return h.deps.Storage.SaveSnapshot(state.Snapshot)
}

// Step hands over a message that the transport received. It never blocks; with
// a full inbox the message is dropped, as the network may do.
func (h *Host) Step(m replica.Message) {
	select {
	case h.inbox <- m:
	default:
	}
}

// Propose appends an entry and waits until it is applied here; it returns what
// Machine.Apply returned. Other errors: *NotLeaderError, ErrBusy, ErrStopped,
// ErrTooLarge, ErrReservedKind or the context's: surely not appended.
// ErrUnknown: it may yet be committed. data must not be changed afterwards.
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

// ReadBarrier returns once this replica, the leader, has applied everything that
// was acknowledged before the call. A read of the state machine after it is
// linearizable.
func (h *Host) ReadBarrier(ctx context.Context) error {
	return h.runCommand(ctx, &command{request: newRequest()}, nil)
}

// ChangeMembers changes the membership by one replica and waits until the change
// is committed. Errors: those of Propose, and replica.ErrChangePending,
// ErrNotCaughtUp, ErrBadChange, ErrRemoveLeader.
func (h *Host) ChangeMembers(ctx context.Context, ch replica.Change) error {
	c := &command{request: newRequest(), change: &ch}
	return trace.Wrap(h.runCommand(ctx, c, ErrOutcomeUnknown), "change members: replica %d", ch.ID)
}

// TransferLeadership hands leadership to another voter, for a planned stop. It
// returns once that one is known to lead. It may take two election timeouts.
// Errors: *NotLeaderError, replica.ErrNotVoter, replica.ErrTransferring,
// ErrTransferFailed, ErrBusy, ErrStopped or the context's.
func (h *Host) TransferLeadership(ctx context.Context, to uint64) error {
	if to == 0 {
		return trace.Wrap(replica.ErrNotVoter, "transfer leadership")
	}
	c := &command{request: newRequest(), transfer: to}
	return trace.Wrap(h.runCommand(ctx, c, nil), "transfer leadership to replica %d", to)
}

func (h *Host) runCommand(ctx context.Context, c *command, errIfClaimed error) error {
	select {
	case h.commands <- c:
	default:
		return ErrBusy
	}
	_, err := c.wait(ctx, h.stopped, errIfClaimed)
	return err
}
