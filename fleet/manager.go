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

// Cloud is the API of the cloud provider. It is implemented by native.CloudClient.
type Cloud interface {
	Prices(ctx context.Context) ([]native.Price, error)
	Instances(ctx context.Context) ([]native.CloudInstance, error)
	Start(ctx context.Context, start native.StartRequest) (native.CloudInstance, error)
	Stop(ctx context.Context, id string) error
	Notices(ctx context.Context, after uint64, wait time.Duration) (native.NoticePage, error)
}

// Log stores the fleet's State in the replicated log.
type Log interface {
	// Fleet returns the state after this replica, the leader, has applied every
	// command committed before the call.
	Fleet(ctx context.Context) (State, error)
	// Commit proposes a change of the state. A command that returned an error may
	// still be applied later.
	Commit(ctx context.Context, c Command) (Result, error)
}

// Members is the membership. It is implemented by membership.Node.
type Members interface {
	View() *instance.View
	Put(key string, version uint64, body []byte)
}

// OrderSender sends orders to backend servers. It is implemented by Orders.
type OrderSender interface {
	Send(ctx context.Context, address string, order native.Order) error
}

// Config holds the settings of a Manager.
type Config struct {
	Site             string // prefix of client tokens; must differ between sites that share a cloud account
	Zones            []zone.Zone
	Classes          []scale.Class
	Scale            scale.Config
	DecisionInterval time.Duration // between two decisions
	// StoreRate is the total throughput of the weight store and MinLoadRate the
	// minimum throughput per model load, in bytes per second. With a StoreRate of 0
	// no loads are ordered.
	StoreRate   float64
	MinLoadRate float64
	PollTimeout time.Duration // maximum wait for reclaim notices, and the delay after a failure
}

// Deps holds the dependencies of a Manager.
type Deps struct {
	Cloud   Cloud
	Log     Log
	Members Members
	Orders  OrderSender
	Models  func() []Model // returns the models that the catalogue uses
	Lease   Lease
	Logger  *slog.Logger
	Now     func() time.Time
}

// Manager adjusts the number of cloud instances to the demand while this replica
// is the leader. It also processes reclaim notices and orders model loads.
//
// A start is committed to the replicated log with its client token before it is
// requested from the cloud. If the leader fails before the result is committed, its
// successor sends the same token and gets the same instance, not a second one.
type Manager struct {
	cfg         Config
	deps        Deps
	scaler      *scale.Scaler
	viewReadyAt time.Time // before it, the view may lack running servers

	lastLeaveOrders map[string]time.Time // time of the last leave order, by server id
	refusedStarts   int                  // number of refused starts
}

// viewWarmUp is the time after the start of the process until the membership view
// counts as complete. With an incomplete view, instances would be stopped while
// their servers still run requests, and demand would seem to surge as servers
// appear.
const viewWarmUp = 30 * time.Second

// maxDecisionRounds bounds the decisions in one step after refused starts. Each
// refusal blocks one combination of zone, class and market for a while.
const maxDecisionRounds = 8

// NewManager returns a Manager, or an error that names an invalid setting.
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

// Run runs steps while this replica is the leader, until ctx ends. It waits for
// PollTimeout after a failed step.
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

// errStateConflict is returned when another leader has changed the state.
var errStateConflict = errors.New("fleet: the state was changed by another leader")

// Step waits up to PollTimeout for reclaim notices and processes them. It then
// decides about starts and stops if DecisionInterval has passed or a notice has
// arrived. It fails if another leader has changed the state.
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
		return nil // a negative age means that the last leader's clock was ahead
	}
	return m.resize(ctx, state)
}

// Timeouts for a cloud that accepts a call and does not answer: noticeGrace is
// added to the wait for notices, resizeTimeout bounds the rest of a step.
const (
	noticeGrace   = 2 * time.Second
	resizeTimeout = time.Minute
)

// resize decides, and decides again at once after refused starts, so that these
// instances are requested in another zone.
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

// commit writes the next state to the log and returns it with its new version.
func (m *Manager) commit(ctx context.Context, next State) (State, error) {
	result, err := m.deps.Log.Commit(ctx, Command{BaseVersion: next.Version, Next: next})
	if err == nil && !result.Applied {
		err = errStateConflict
	}
	next.Version++
	return next, trace.Wrap(err, "step=commit fleet")
}

// maxConcurrentOrders bounds the leave orders in flight.
const maxConcurrentOrders = 32

// leaveOrderInterval is the time a server has to announce that it is leaving
// before the order is repeated.
const leaveOrderInterval = 5 * time.Second

// requestPending requests the starts and stops in the log from the cloud and
// commits the results. A start without a result stays in the log and is requested
// again with the same token.
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
		return state, nil // no result yet
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

// requestStops orders the servers on instances to be stopped to leave. It stops an
// instance only after its server has gone, so that accepted requests finish.
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
			remaining = append(remaining, id) // retried in the next step
		}
	}
	m.orderToLeave(ctx, serving)
	state.Stops = remaining
	return state
}

// decide commits what to start and stop. While the outcome of a start is unknown
// it decides nothing: the instance may exist, and would be started twice.
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

// maxListLag bounds the delay until the cloud lists an instance that it started.
const maxListLag = 5 * time.Minute
