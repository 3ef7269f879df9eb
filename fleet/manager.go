package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/scale"
	"savoryreel.example/savoryreel/zone"
)

// Cloud is the cloud API; native.CloudClient is one.
type Cloud interface {
	Prices(ctx context.Context) ([]native.Price, error)
	Instances(ctx context.Context) ([]native.CloudInstance, error)
	Start(ctx context.Context, start native.StartRequest) (native.CloudInstance, error)
	Stop(ctx context.Context, id string) error
	Notices(ctx context.Context, after uint64, wait time.Duration) (native.NoticePage, error)
}

// Log keeps the fleet's State in the replicated log.
type Log interface {
	// Fleet returns the state once this replica, the leader, has applied everything
	// that was committed before the call.
	Fleet(ctx context.Context) (State, error)
	// Commit changes the state. After an error it may yet take hold.
	Commit(ctx context.Context, c Command) (Result, error)
}

// Members is the membership; membership.Node is one.
type Members interface {
	View() *instance.View
	Put(key string, version uint64, body []byte)
}

// OrderSender gives orders to backend servers; Orders is one.
type OrderSender interface {
	Send(ctx context.Context, address string, order native.Order) error
}

// Config is the settings of a Manager.
type Config struct {
	Site             string // begins the client tokens; differs between sites with one cloud account
	Zones            []zone.Zone
	Classes          []scale.Class
	Scale            scale.Config
	DecisionInterval time.Duration // between two decisions
	// StoreRate is what the weight store delivers in all, and LoadRate the least
	// rate at which one load is worth starting, in bytes per second. With a
	// StoreRate of 0 no loads are ordered.
	StoreRate   float64
	MinLoadRate float64
	PollTimeout time.Duration // longest wait for a notice, and the pause after a failure
}

// Deps is what a Manager works with.
type Deps struct {
	Cloud   Cloud
	Log     Log
	Members Members
	Orders  OrderSender
	Models  func() []Model // those that the catalogue names
	Lease   Lease
	Logger  *slog.Logger
	Now     func() time.Time
}

// Manager keeps the fleet at the size that the demand wants, while this replica
// leads: it takes in reclaim notices, starts and stops instances.
//
// Every start is in the replicated log with its client token before the cloud is
// asked. A leader lost between the two, or before it knew the answer, leaves the
// start there; the next one sends the same token and gets the same instance.
type Manager struct {
	cfg         Config
	deps        Deps
	scaler      *scale.Scaler
	viewReadyAt time.Time // the view is taken to be whole from then on

	lastLeaveOrders map[string]time.Time // when servers were last ordered to leave, by id
	refusedStarts   int                  // starts refused so far
}

// viewWarmUp is how long a process that has just started hears from the others
// before its view counts as whole. Before that, servers that run would be missing
// from it: instances would be ended under their requests, and the demand would
// seem to leap up as they appear.
const viewWarmUp = 30 * time.Second

// maxDecisionRounds bounds the decisions of one step after refused starts. Each refusal
// closes one zone, class and market for a while.
const maxDecisionRounds = 8

// NewManager returns a Manager. The error names a setting that is out of range.
func NewManager(cfg Config, deps Deps) (*Manager, error) {
	if err := zone.Validate(cfg.Zones); err != nil {
		return nil, trace.Wrap(err)
	}
	scaler, err := scale.New(cfg.Site, cfg.Scale)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Manager{cfg: cfg, deps: deps, scaler: scaler, viewReadyAt: deps.Now().Add(viewWarmUp), lastLeaveOrders: make(map[string]time.Time)}, nil
}

// Run works until ctx ends. What fails is tried again after Poll.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.holdsLease() && m.Step(ctx) == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.cfg.PollTimeout):
		}
	}
	return ctx.Err()
}

func (m *Manager) holdsLease() bool {
	_, _, ok := m.deps.Lease.HoldsLease()
	return ok
}

// errStateConflict says that another leader has changed the state meanwhile.
var errStateConflict = errors.New("fleet: the state was changed by another leader")

// Step waits for notices for up to Poll, takes them in, and decides if it is
// time to or if there were any. It returns early when this replica was replaced.
func (m *Manager) Step(ctx context.Context) error {
	state, err := m.deps.Log.Fleet(ctx)
	if err != nil {
		return trace.Wrap(err, "step=read fleet")
	}
	page, err := m.readNotices(ctx, state.LastNotice)
	if err != nil {
		return trace.Wrap(err, "step=read notices")
	}
	if len(page.Notices) > 0 {
		m.publishNotices(page.Notices)
		state.LastNotice = page.Last(state.LastNotice)
		if state, err = m.commit(ctx, state); err != nil {
			return err
		}
	}
	m.orderNoticedToLeave(ctx)
	ctx, cancel := context.WithTimeout(ctx, resizeTimeout)
	defer cancel()
	now := m.deps.Now()
	if now.Before(m.viewReadyAt) {
		return nil
	}
	if state, err = m.placeModels(ctx, state); err != nil {
		return err
	}
	if state, err = m.requestPending(ctx, state); err != nil {
		return err
	}
	if age := now.Sub(state.Scale.At); len(page.Notices) == 0 && age >= 0 && age < m.cfg.DecisionInterval {
		return nil // a decision from the future is one of a leader whose clock was ahead
	}
	return m.resize(ctx, state)
}

// Bounds on a cloud that takes a call and does not answer: on the wait for
// notices beyond its own, and on one round of decisions.
const (
	noticeGrace   = 2 * time.Second
	resizeTimeout = time.Minute
)

// resize decides, and again at once where starts were refused: what is refused
// in one zone is asked for in another.
func (m *Manager) resize(ctx context.Context, state State) error {
	var err error
	for range maxDecisionRounds {
		refused := m.refusedStarts
		if state, err = m.decide(ctx, state); err != nil {
			return err
		}
		if state, err = m.requestPending(ctx, state); err != nil || m.refusedStarts == refused {
			return err
		}
	}
	return nil
}

// commit writes the next state into the log and returns it as it is there.
func (m *Manager) commit(ctx context.Context, next State) (State, error) {
	result, err := m.deps.Log.Commit(ctx, Command{BaseVersion: next.Version, Next: next})
	if err == nil && !result.Applied {
		err = errStateConflict
	}
	next.Version++
	return next, trace.Wrap(err, "step=commit fleet")
}

// maxConcurrentOrders is how many orders are under way at a time.
const maxConcurrentOrders = 32

// leaveOrderInterval is the time for a server to announce that it leaves before it is
// ordered to once more.
const leaveOrderInterval = 5 * time.Second

// requestPending asks the cloud for the starts and stops that the log holds, and notes
// there what became of them. A start whose answer was lost stays and is asked
// for again with its token.
func (m *Manager) requestPending(ctx context.Context, state State) (State, error) {
	if len(state.Starts)+len(state.Stops) == 0 {
		return state, nil
	}
	next := state
	for _, s := range state.Starts {
		next = m.requestStart(ctx, next, s)
	}
	next = m.requestStops(ctx, next)
	if len(next.Starts) == len(state.Starts) && len(next.Stops) == len(state.Stops) {
		return state, nil // nothing is settled yet
	}
	return m.commit(ctx, next)
}

func (m *Manager) requestStart(ctx context.Context, state State, s Start) State {
	i, err := m.deps.Cloud.Start(ctx, native.StartRequest{
		ClientToken: s.Token, Zone: s.Option.Zone, Class: s.Option.Class, Kind: native.PurchaseKind(s.Option.Market),
	})
	switch {
	case err == nil:
		state = state.without(s.Token)
		state.Accepted = append(slices.Clone(state.Accepted), Accepted{ID: i.ID, Option: s.Option, At: m.deps.Now()})
		state.Scale = m.scaler.Accepted(state.Scale, scale.Start{Token: s.Token, Option: s.Option, Ordinal: s.Ordinal})
	case native.NoCapacity(err):
		state = state.without(s.Token)
		state.Scale = m.scaler.Refused(state.Scale, s.Option, m.deps.Now())
		m.refusedStarts++
		event.Log(ctx, m.deps.Logger, slog.LevelWarn, event.StartRefused, slog.String("token", s.Token),
			slog.String("zone", s.Option.Zone), slog.String("class", s.Option.Class), slog.String("market", string(s.Option.Market)))
	}
	return state
}

// requestStops orders the servers on instances to be stopped to leave, and ends each
// instance once its server is gone: what it has accepted is answered first.
func (m *Manager) requestStops(ctx context.Context, state State) State {
	var serving []*instance.Server
	var remaining []string
	for _, id := range state.Stops {
		s, known := m.deps.Members.View().Server(id)
		switch {
		case known && s.State == instance.StateServing:
			serving = append(serving, s)
			remaining = append(remaining, id)
		case known && s.State == instance.StateLeaving:
			remaining = append(remaining, id)
		case m.deps.Cloud.Stop(ctx, id) != nil:
			remaining = append(remaining, id) // tried again at the next step
		}
	}
	m.orderToLeave(ctx, serving)
	state.Stops = remaining
	return state
}

// decide commits what to start and stop now. While a start's outcome is not
// known, nothing is decided: it may run already, and would be started twice.
func (m *Manager) decide(ctx context.Context, state State) (State, error) {
	if len(state.Starts) > 0 {
		return state, nil
	}
	running, err := m.deps.Cloud.Instances(ctx)
	if err != nil {
		return state, trace.Wrap(err, "step=list instances")
	}
	next := state
	next.Accepted = m.unlistedStarts(state.Accepted, running)
	in, err := m.decisionInput(ctx, next, running)
	if err != nil {
		return state, err
	}
	var plan scale.Plan
	next.Scale, plan = m.scaler.Decide(next.Scale, in)
	for _, s := range plan.Starts {
		next.Starts = append(next.Starts, Start{Token: s.Token, Option: s.Option, Ordinal: s.Ordinal, Reason: s.Reason})
	}
	next.Stops = slices.Clone(next.Stops)
	for _, s := range plan.Stops {
		next.Stops = append(next.Stops, s.ID)
	}
	if next, err = m.commit(ctx, next); err != nil {
		return next, err
	}
	m.logPlan(ctx, in, plan)
	return next, nil
}

func (m *Manager) logPlan(ctx context.Context, in scale.Input, plan scale.Plan) {
	for _, s := range plan.Starts {
		event.Log(ctx, m.deps.Logger, slog.LevelInfo, event.PlacementChosen, slog.String("start", s.Token),
			slog.String("reason", s.Reason.String()), slog.Float64("demand", in.Demand), slog.Float64("wanted", plan.Wanted),
			slog.Float64("short", plan.Shortfall), slog.Int("fleet", len(in.Fleet)))
	}
	for _, s := range plan.Stops {
		event.Log(ctx, m.deps.Logger, slog.LevelInfo, event.PlacementChosen, slog.String("stop", s.ID),
			slog.String("reason", s.Reason.String()), slog.Float64("demand", in.Demand), slog.Float64("wanted", plan.Wanted))
	}
}

// maxListLag bounds how far the cloud's list of instances is behind its answers.
const maxListLag = 5 * time.Minute
