package scale

import (
	"fmt"
	"slices"
	"time"

	"savoryreel.example/savoryreel/zone"
)

// Class is a machine class and what it serves within the latency target.
type Class struct {
	Name     string
	Capacity float64 // work per second, such as generated tokens
}

// Phase is where an instance of the fleet stands.
type Phase uint8

// The phases.
const (
	PhaseStarting Phase = iota // accepted by the cloud, not serving yet
	PhaseServing
	PhaseLeaving // under notice, or stopping
)

// Instance is one instance of the fleet.
type Instance struct {
	ID     string
	Option Option
	Phase  Phase
}

// Risk is how often instances of a zone are reclaimed.
type Risk struct {
	Zone    string
	PerHour float64 // reclaims per instance and hour
}

// Input is what a decision looks at: one region's demand, offers and fleet. An
// accepted start must be in Fleet from the moment it is accepted.
type Input struct {
	Now     time.Time
	Demand  float64 // work per second that callers want
	Classes []Class
	Zones   []zone.Zone
	Risks   []Risk
	Fleet   []Instance
}

// Reason says why something is started or stopped.
type Reason uint8

// The reasons.
const (
	ReasonHold       Reason = iota // the capacity held stays
	ReasonUp                       // demand, with its slope, has reached the capacity held
	ReasonDown                     // demand has been lower for long
	ReasonSpread                   // start: its data centre's part under the spread rule
	ReasonElsewhere                // start: where it belongs, starts are refused
	ReasonLastResort               // start: on demand, as all that is reclaimable is refused
	ReasonSwap                     // start: to take the place of an on-demand instance
	ReasonSpare                    // stop: not needed by the spread rule
)

// String returns the reason in lower case with underscores, for logs.
func (r Reason) String() string {
	names := [...]string{"hold", "up", "down", "spread", "elsewhere", "last_resort", "swap", "spare"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Start is an instance to start. Token is the client token for the cloud API: a
// new leader that decides the same start again sends the same token and gets
// the same instance.
type Start struct {
	Token   string
	Option  Option
	Ordinal uint64
	Reason  Reason
}

// Stop is an instance to stop gracefully.
type Stop struct {
	ID     string
	Reason Reason
}

// Plan is a decision.
type Plan struct {
	Starts []Start
	Stops  []Stop
	Reason Reason  // of the capacity held
	Wanted float64 // work per second to be there without any one data centre
	Short  float64 // what is still missing of it once all starts serve
}

// Scaler decides on the fleet of one service, or of services that share it.
type Scaler struct {
	site string
	cfg  Config
}

// New returns a Scaler; site goes into the client tokens, so that two sites with
// one cloud account do not share them. The error is a *policy.ConfigError.
func New(site string, cfg Config) (*Scaler, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Scaler{site: site, cfg: cfg}, nil
}

// Decide returns what to start and stop now, and the State for the next
// decision. Call it every minute or so and after each notice or refusal.
func (s *Scaler) Decide(state State, in Input) (State, Plan) {
	reason := s.cfg.hold(&state, in.Demand, in.Now)
	p := s.newPlanner(&state, &in)
	p.plan = Plan{Reason: reason, Wanted: state.Capacity}
	p.fillParts()
	p.fillAnywhere()
	p.swap()
	p.stop()
	p.plan.Short = max(p.wanted-p.all.survives(), 0)
	return state, p.plan
}

// offer is an Option with its price.
type offer struct {
	Option
	centre   int     // index of the data centre
	capacity float64 // work per second
	price    float64 // currency units an hour, with the risk of a reclaim
	open     bool    // starts are not backing off
}

// planner holds one decision on its way.
type planner struct {
	s       *Scaler
	state   *State
	in      *Input
	offers  []offer
	wanted  float64
	all     parts // capacity by data centre, starting or serving
	serving parts
	plan    Plan
}

func (s *Scaler) newPlanner(state *State, in *Input) *planner {
	p := &planner{s: s, state: state, in: in, wanted: state.Capacity}
	centres := dataCentres(in.Zones)
	p.all = make(parts, len(centres))
	p.serving = make(parts, len(centres))
	for i := range in.Zones {
		p.addOffers(&in.Zones[i], slices.Index(centres, in.Zones[i].DataCentre))
	}
	for _, instance := range in.Fleet {
		o := p.offer(instance.Option)
		if o == nil || instance.Phase == PhaseLeaving {
			continue
		}
		p.all[o.centre] += o.capacity
		if instance.Phase == PhaseServing {
			p.serving[o.centre] += o.capacity
		}
	}
	return p
}

func dataCentres(zones []zone.Zone) []string {
	var centres []string
	for i := range zones {
		if !slices.Contains(centres, zones[i].DataCentre) {
			centres = append(centres, zones[i].DataCentre)
		}
	}
	return centres
}

func (p *planner) addOffers(z *zone.Zone, centre int) {
	for _, class := range p.in.Classes {
		for _, market := range []zone.Market{zone.Reclaimable, zone.OnDemand} {
			price, ok := z.Price(class.Name, market)
			if !ok || class.Capacity <= 0 {
				continue
			}
			if market == zone.Reclaimable {
				price += p.risk(z.Name) * p.s.cfg.ReclaimCost
			}
			option := Option{z.Name, class.Name, market}
			p.offers = append(p.offers, offer{option, centre, class.Capacity, price, p.state.open(option, p.in.Now)})
		}
	}
}

func (p *planner) risk(name string) float64 {
	for _, r := range p.in.Risks {
		if r.Zone == name {
			return r.PerHour
		}
	}
	return 0
}

func (p *planner) offer(option Option) *offer {
	for i := range p.offers {
		if p.offers[i].Option == option {
			return &p.offers[i]
		}
	}
	return nil
}

// cheapest returns the offer with the lowest price for the need that it can
// fill, among those that ok accepts, or nil. Capacity beyond the need counts for
// nothing, so a small rest takes a small machine.
func (p *planner) cheapest(need float64, ok func(o *offer) bool) *offer {
	var best *offer
	var bestPrice float64
	for i := range p.offers {
		o := &p.offers[i]
		if !ok(o) {
			continue
		}
		price := o.price / min(o.capacity, need)
		if best == nil || price < bestPrice {
			best, bestPrice = o, price
		}
	}
	return best
}

// fillParts starts, in each data centre that has a part of the capacity, what it
// lacks of it.
func (p *planner) fillParts() {
	for centre, part := range p.parts() {
		for p.all[centre] < part && !p.met() {
			o := p.cheapest(part-p.all[centre], func(o *offer) bool {
				return o.centre == centre && o.open && o.Market == zone.Reclaimable
			})
			if o == nil || !p.start(o, ReasonSpread) {
				break
			}
		}
	}
}

// parts returns the capacity that each data centre should have: equal parts in
// the cheapest k of them, for the k with the lowest price in all.
func (p *planner) parts() parts {
	type ranked struct {
		centre int
		price  float64 // of a unit of work per second
	}
	var order []ranked
	for centre := range p.all {
		o := p.cheapest(p.wanted, func(o *offer) bool { return o.centre == centre && o.Market == zone.Reclaimable })
		if o != nil {
			order = append(order, ranked{centre, o.price / o.capacity})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		if a.price < b.price {
			return -1
		}
		if a.price > b.price {
			return 1
		}
		return 0
	})
	best, bestPrice, sum := 0, 0.0, 0.0
	for i, r := range order {
		sum += r.price
		if price := sum / float64(i); i > 0 && (best == 0 || price < bestPrice) {
			best, bestPrice = i+1, price
		}
	}
	result := make(parts, len(p.all))
	for _, r := range order[:best] {
		result[r.centre] = p.wanted / float64(best-1)
	}
	return result
}

// fillAnywhere starts what the spread rule still lacks: in other data centres,
// and on demand if all that is reclaimable is refused.
func (p *planner) fillAnywhere() {
	for !p.met() {
		need := p.wanted - p.all.survives()
		o := p.filler(need, zone.Reclaimable)
		reason := ReasonElsewhere
		if o == nil {
			o = p.filler(need, zone.OnDemand)
			reason = ReasonLastResort
		}
		if o == nil || !p.start(o, reason) {
			return
		}
	}
}

// filler returns the cheapest open offer that raises what survives a loss. In
// the largest data centre nothing does; where two are equally large, one must
// grow before the other, and the smallest is taken.
func (p *planner) filler(need float64, market zone.Market) *offer {
	open := func(o *offer) bool { return o.open && o.Market == market }
	before := p.all.survives()
	if o := p.cheapest(need, func(o *offer) bool { return open(o) && p.all.with(o) > before }); o != nil {
		return o
	}
	var smallest *offer
	usable := 0
	for i := range p.offers {
		o := &p.offers[i]
		if !open(o) {
			continue
		}
		if smallest == nil || o.centre != smallest.centre {
			usable++
		}
		if smallest == nil || p.all[o.centre] < p.all[smallest.centre] {
			smallest = o
		}
	}
	if usable < 2 {
		return nil // a single data centre cannot survive its own loss, however large
	}
	return smallest
}

func (p *planner) met() bool { return p.all.survives() >= p.wanted-epsilon }

// start adds a start to the plan, unless the plan is full.
func (p *planner) start(o *offer, reason Reason) bool {
	if len(p.plan.Starts) >= p.s.cfg.MaxStarts {
		return false
	}
	ordinal := p.state.next(o.Option)
	for _, earlier := range p.plan.Starts {
		if earlier.Option == o.Option {
			ordinal++
		}
	}
	token := fmt.Sprintf("%s/%s/%s/%s/%d", p.s.site, o.Zone, o.Class, o.Market, ordinal)
	p.plan.Starts = append(p.plan.Starts, Start{token, o.Option, ordinal, reason})
	p.all[o.centre] += o.capacity
	return true
}

// swap starts one reclaimable instance to take the place of an on-demand one.
// The latter stops when the former serves. One at a time, since the wave that
// made on-demand instances necessary may not be over.
func (p *planner) swap() {
	onDemand := slices.ContainsFunc(p.in.Fleet, func(i Instance) bool {
		return i.Phase == PhaseServing && i.Option.Market == zone.OnDemand
	})
	starting := slices.ContainsFunc(p.in.Fleet, func(i Instance) bool { return i.Phase == PhaseStarting })
	if !onDemand || starting || len(p.plan.Starts) > 0 || p.in.Now.Sub(p.state.LastSwap) < p.s.cfg.SwapEvery {
		return
	}
	if o := p.filler(p.wanted, zone.Reclaimable); o != nil && p.start(o, ReasonSwap) {
		p.state.LastSwap = p.in.Now
	}
}

// stop ends the dearest instances for as long as those that serve without them
// meet the spread rule. Starting ones do not count: they may never come.
func (p *planner) stop() {
	fleet := slices.Clone(p.in.Fleet)
	slices.SortStableFunc(fleet, func(a, b Instance) int {
		return -compareUnitPrice(p.offer(a.Option), p.offer(b.Option))
	})
	for _, instance := range fleet {
		o := p.offer(instance.Option)
		if o == nil || instance.Phase != PhaseServing {
			continue
		}
		p.serving[o.centre] -= o.capacity
		if p.serving.survives() < p.wanted {
			p.serving[o.centre] += o.capacity
			continue
		}
		p.all[o.centre] -= o.capacity
		p.plan.Stops = append(p.plan.Stops, Stop{instance.ID, ReasonSpare})
	}
}

func compareUnitPrice(a, b *offer) int {
	price := func(o *offer) float64 {
		if o == nil {
			return 0
		}
		return o.price / o.capacity
	}
	switch {
	case price(a) < price(b):
		return -1
	case price(a) > price(b):
		return 1
	default:
		return 0
	}
}

// epsilon is rounding error of sums of capacities, in work per second.
const epsilon = 1e-6

// parts is a capacity by data centre.
type parts []float64

// survives returns what is left without the largest data centre. With a single
// one there is nothing to survive its loss, and all of it counts.
func (c parts) survives() float64 {
	if len(c) == 1 {
		return c[0]
	}
	sum, most := 0.0, 0.0
	for _, v := range c {
		sum += v
		most = max(most, v)
	}
	return sum - most
}

// with is survives with one more instance of the offer.
func (c parts) with(o *offer) float64 {
	c[o.centre] += o.capacity
	defer func() { c[o.centre] -= o.capacity }()
	return c.survives()
}
