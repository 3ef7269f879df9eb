package fleet

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
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

// Orderer gives orders to backend servers; Orders is one.
type Orderer interface {
	Give(ctx context.Context, address string, order native.Order) error
}

// Config is the settings of a Manager.
type Config struct {
	Site    string // begins the client tokens; differs between sites with one cloud account
	Zones   []zone.Zone
	Classes []scale.Class
	Scale   scale.Config
	Every   time.Duration // between two decisions
	// WeightRate is what the weight store delivers in all, and LoadRate the least
	// rate at which one load is worth starting, in bytes per second. With a
	// WeightRate of 0 no loads are ordered.
	WeightRate float64
	LoadRate   float64
	Poll       time.Duration // longest wait for a notice, and the pause after a failure
}

// Deps is what a Manager works with.
type Deps struct {
	Cloud   Cloud
	Log     Log
	Members Members
	Orders  Orderer
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
	cfg    Config
	deps   Deps
	scaler *scale.Scaler
	warm   time.Time // the view is taken to be whole from then on

	reminded map[string]time.Time // when servers were last ordered to leave, by id
	refused  int                  // starts refused so far
}

// warmUp is how long a process that has just started hears from the others
// before its view counts as whole. Before that, servers that run would be missing
// from it: instances would be ended under their requests, and the demand would
// seem to leap up as they appear.
const warmUp = 30 * time.Second

// maxRounds bounds the decisions of one step after refused starts. Each refusal
// closes one zone, class and market for a while.
const maxRounds = 8

// NewManager returns a Manager. The error names a setting that is out of range.
func NewManager(cfg Config, deps Deps) (*Manager, error) {
	if err := zone.Validate(cfg.Zones); err != nil {
		return nil, trace.Wrap(err)
	}
	scaler, err := scale.New(cfg.Site, cfg.Scale)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Manager{cfg: cfg, deps: deps, scaler: scaler, warm: deps.Now().Add(warmUp), reminded: make(map[string]time.Time)}, nil
}

// Run works until ctx ends. What fails is tried again after Poll.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.leads() && m.Step(ctx) == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.cfg.Poll):
		}
	}
	return ctx.Err()
}

func (m *Manager) leads() bool {
	_, _, ok := m.deps.Lease.HoldsLease()
	return ok
}

// errReplaced says that another leader has changed the state meanwhile.
var errReplaced = errors.New("fleet: the state was changed by another leader")

// Step waits for notices for up to Poll, takes them in, and decides if it is
// time to or if there were any. It returns early when this replica was replaced.
func (m *Manager) Step(ctx context.Context) error {
	state, err := m.deps.Log.Fleet(ctx)
	if err != nil {
		return trace.Wrap(err, "step=read fleet")
	}
	page, err := m.notices(ctx, state.Notice)
	if err != nil {
		return trace.Wrap(err, "step=read notices")
	}
	if len(page.Notices) > 0 {
		m.spread(page.Notices)
		state.Notice = page.Last(state.Notice)
		if state, err = m.commit(ctx, state); err != nil {
			return err
		}
	}
	m.remind(ctx)
	ctx, cancel := context.WithTimeout(ctx, resizeTimeout)
	defer cancel()
	now := m.deps.Now()
	if now.Before(m.warm) {
		return nil
	}
	if state, err = m.load(ctx, state); err != nil {
		return err
	}
	if state, err = m.settle(ctx, state); err != nil {
		return err
	}
	if age := now.Sub(state.Scale.At); len(page.Notices) == 0 && age >= 0 && age < m.cfg.Every {
		return nil // a decision from the future is one of a leader whose clock was ahead
	}
	return m.resize(ctx, state)
}

func (m *Manager) notices(ctx context.Context, after uint64) (native.NoticePage, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Poll+noticeGrace)
	defer cancel()
	return m.deps.Cloud.Notices(ctx, after, m.cfg.Poll)
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
	for range maxRounds {
		refused := m.refused
		if state, err = m.decide(ctx, state); err != nil {
			return err
		}
		if state, err = m.settle(ctx, state); err != nil || m.refused == refused {
			return err
		}
	}
	return nil
}

// commit writes the next state into the log and returns it as it is there.
func (m *Manager) commit(ctx context.Context, next State) (State, error) {
	result, err := m.deps.Log.Commit(ctx, Command{Base: next.Version, Next: next})
	if err == nil && !result.Taken {
		err = errReplaced
	}
	next.Version++
	return next, trace.Wrap(err, "step=commit fleet")
}

// spread tells all entries of the notices: an entry that sends no more work to a
// server saves it, while an order only lets the server say so itself.
func (m *Manager) spread(notices []native.Notice) {
	for _, n := range notices {
		body, err := noticeOf(n).Encode()
		if err != nil || !m.deps.Now().Before(n.Deadline) {
			continue // over before this leader heard of it
		}
		m.deps.Members.Put(NoticeKey(n.InstanceID), n.Sequence, body)
	}
}

// remind orders the servers to leave that are under notice and still say that
// they serve. It goes by the shared records, so it also finds a server that this
// replica did not know when the notice came, and one that the leader before did
// not reach.
func (m *Manager) remind(ctx context.Context) {
	var serving []*instance.Server
	for _, s := range m.deps.Members.View().AllServers() {
		if s.State == instance.StateServing && m.noticed(s.ID) {
			serving = append(serving, s)
		}
	}
	m.leave(ctx, serving)
}

func (m *Manager) noticed(id string) bool {
	r, known := m.deps.Members.View().Record(NoticeKey(id))
	if !known {
		return false
	}
	n, err := DecodeNotice(r.Body)
	return err == nil && m.deps.Now().Before(n.Ends())
}

// maxOrders is how many orders are under way at a time.
const maxOrders = 32

// remindEvery is the time for a server to announce that it leaves before it is
// ordered to once more.
const remindEvery = 5 * time.Second

// leave orders servers to leave, each once in remindEvery. An order that fails
// has its log line, and comes again.
func (m *Manager) leave(ctx context.Context, serving []*instance.Server) {
	now := m.deps.Now()
	maps.DeleteFunc(m.reminded, func(_ string, at time.Time) bool { return now.Sub(at) >= remindEvery })
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxOrders)
	for _, s := range serving {
		if _, done := m.reminded[s.ID]; done {
			continue
		}
		m.reminded[s.ID] = now
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			_ = m.deps.Orders.Give(ctx, s.Address, native.Order{Kind: native.OrderLeave}) // logged by Give
		})
	}
	wg.Wait()
}

// settle asks the cloud for the starts and stops that the log holds, and notes
// there what became of them. A start whose answer was lost stays and is asked
// for again with its token.
func (m *Manager) settle(ctx context.Context, state State) (State, error) {
	if len(state.Starts)+len(state.Stops) == 0 {
		return state, nil
	}
	next := state
	for _, s := range state.Starts {
		next = m.start(ctx, next, s)
	}
	next = m.stop(ctx, next)
	if len(next.Starts) == len(state.Starts) && len(next.Stops) == len(state.Stops) {
		return state, nil // nothing is settled yet
	}
	return m.commit(ctx, next)
}

func (m *Manager) start(ctx context.Context, state State, s Start) State {
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
		m.refused++
		event.Log(ctx, m.deps.Logger, slog.LevelWarn, event.StartRefused, slog.String("token", s.Token),
			slog.String("zone", s.Option.Zone), slog.String("class", s.Option.Class), slog.String("market", string(s.Option.Market)))
	}
	return state
}

// stop orders the servers on instances to be stopped to leave, and ends each
// instance once its server is gone: what it has accepted is answered first.
func (m *Manager) stop(ctx context.Context, state State) State {
	var serving []*instance.Server
	var left []string
	for _, id := range state.Stops {
		s, known := m.deps.Members.View().Server(id)
		switch {
		case known && s.State == instance.StateServing:
			serving = append(serving, s)
			left = append(left, id)
		case known && s.State == instance.StateLeaving:
			left = append(left, id)
		case m.deps.Cloud.Stop(ctx, id) != nil:
			left = append(left, id) // tried again at the next step
		}
	}
	m.leave(ctx, serving)
	state.Stops = left
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
	next.Accepted = m.unlisted(state.Accepted, running)
	in, err := m.input(ctx, next, running)
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
			slog.Float64("short", plan.Short), slog.Int("fleet", len(in.Fleet)))
	}
	for _, s := range plan.Stops {
		event.Log(ctx, m.deps.Logger, slog.LevelInfo, event.PlacementChosen, slog.String("stop", s.ID),
			slog.String("reason", s.Reason.String()), slog.Float64("demand", in.Demand), slog.Float64("wanted", plan.Wanted))
	}
}

// unlisted returns the accepted starts that the cloud does not list yet. After
// listLag one that is not listed has come to nothing.
func (m *Manager) unlisted(accepted []Accepted, running []native.CloudInstance) []Accepted {
	return slices.DeleteFunc(slices.Clone(accepted), func(a Accepted) bool {
		listed := slices.ContainsFunc(running, func(i native.CloudInstance) bool { return i.ID == a.ID })
		return listed || m.deps.Now().Sub(a.At) > listLag
	})
}

// listLag bounds how far the cloud's list of instances is behind its answers.
const listLag = 5 * time.Minute

// input gathers what a decision looks at.
func (m *Manager) input(ctx context.Context, state State, running []native.CloudInstance) (scale.Input, error) {
	prices, err := m.deps.Cloud.Prices(ctx)
	if err != nil {
		return scale.Input{}, trace.Wrap(err, "step=read prices")
	}
	in := scale.Input{Now: m.deps.Now(), Demand: m.demand(), Classes: m.cfg.Classes, Zones: priced(m.cfg.Zones, prices)}
	if age := in.Now.Sub(state.Scale.At); age >= 0 && age < m.cfg.Every/2 {
		// A notice or a refusal right after a decision. Extrapolated from so short a
		// time, a few requests more would count as a surge, and its starts would stay
		// for minutes.
		in.Demand = state.Scale.Demand
	}
	for _, a := range state.Accepted {
		in.Fleet = append(in.Fleet, scale.Instance{ID: a.ID, Option: a.Option, Phase: scale.PhaseStarting})
	}
	for _, i := range running {
		ours := strings.HasPrefix(i.ClientToken, m.cfg.Site+"/")
		if !ours || i.State == native.InstanceReclaimed || i.State == native.InstanceStopped {
			continue
		}
		in.Fleet = append(in.Fleet, scale.Instance{
			ID: i.ID, Option: scale.Option{Zone: i.Zone, Class: i.Class, Market: zone.Market(i.Kind)}, Phase: m.phase(i, state),
		})
	}
	return in, nil
}

func (m *Manager) phase(i native.CloudInstance, state State) scale.Phase {
	if i.State == native.InstanceReclaiming || slices.Contains(state.Stops, i.ID) {
		return scale.PhaseLeaving
	}
	s, known := m.deps.Members.View().Server(i.ID)
	switch {
	case !known || s.State == instance.StateGone:
		return scale.PhaseStarting
	case s.State == instance.StateLeaving:
		return scale.PhaseLeaving
	default:
		return scale.PhaseServing
	}
}

// demand is the work per second that callers want: the part of each server's
// slots that running and waiting requests take, more than one where they wait.
func (m *Manager) demand() float64 {
	sum := 0.0
	for _, s := range m.deps.Members.View().AllServers() {
		i := slices.IndexFunc(m.cfg.Classes, func(c scale.Class) bool { return c.Name == s.Class })
		if i >= 0 && s.Slots > 0 {
			sum += m.cfg.Classes[i].Capacity * float64(s.Load.Running+s.Load.Waiting) / float64(s.Slots)
		}
	}
	return sum
}

// priced returns the zones with the prices of the moment.
func priced(zones []zone.Zone, prices []native.Price) []zone.Zone {
	out := slices.Clone(zones)
	for i := range out {
		out[i].Prices = nil
		for _, p := range prices {
			if p.Zone == out[i].Name {
				out[i].Prices = addPrice(out[i].Prices, p)
			}
		}
	}
	return out
}

func addPrice(list []zone.Price, p native.Price) []zone.Price {
	i := slices.IndexFunc(list, func(x zone.Price) bool { return x.Class == p.Class })
	if i < 0 {
		i = len(list)
		list = append(list, zone.Price{Class: p.Class})
	}
	if p.Kind == native.OnDemand {
		list[i].OnDemand = p.PerHour
	} else {
		list[i].Reclaimable = p.PerHour
	}
	return list
}
