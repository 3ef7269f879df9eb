package scale

import (
	"fmt"
	"slices"
	"time"

	"savoryreel.example/savoryreel/zone"
)

// Class is a machine class and its capacity within the latency target.
type Class struct {
	Name     string
	Capacity float64 // work per second, for example generated tokens
}

// Phase is the lifecycle phase of an instance.
type Phase uint8

// The phases.
const (
	PhaseStarting Phase = iota // accepted by the cloud, not serving yet
	PhaseServing
	PhaseLeaving // has a reclaim notice, or is stopping
)

// Instance is one instance of the fleet.
type Instance struct {
	ID     string
	Option Option
	Phase  Phase
}

// Risk is the reclaim rate of a zone.
type Risk struct {
	Zone    string
	PerHour float64 // reclaims per instance and hour
}

// Input is the demand, offers and fleet of one region. Fleet must contain every
// accepted start, also those that the cloud does not list yet.
type Input struct {
	Now     time.Time
	Demand  float64 // work per second
	Classes []Class
	Zones   []zone.Zone
	Risks   []Risk
	Fleet   []Instance
}

// Reason is the reason for a change of the target, a start or a stop.
type Reason uint8

// The reasons.
const (
	ReasonHold       Reason = iota // target unchanged
	ReasonUp                       // target raised: the extrapolated or forecast demand exceeds it
	ReasonDown                     // target lowered: demand was below it for Config.DownAfter
	ReasonSpread                   // start: the data centre has less than its share
	ReasonElsewhere                // start: in another data centre, as starts in the preferred one are refused
	ReasonLastResort               // start: on demand, as all reclaimable options are refused
	ReasonSwap                     // start: reclaimable, to replace an on-demand instance
	ReasonSpare                    // stop: more capacity than the target requires
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
// new leader that repeats the decision sends the same token, and the cloud returns
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

// Plan lists the starts and stops of one decision.
type Plan struct {
	Starts    []Start
	Stops     []Stop
	Reason    Reason  // for the change of the target capacity
	Wanted    float64 // work per second that must remain after the loss of any one data centre
	Shortfall float64 // missing part of Wanted after all starts, in work per second
}

// Scaler sizes the fleet of one service, or of several that share a fleet.
type Scaler struct {
	site string
	cfg  Config
}

// New returns a Scaler. site is part of the client tokens, so that two sites with
// one cloud account use different tokens. The error is a *policy.ConfigError.
func New(site string, cfg Config) (*Scaler, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Scaler{site: site, cfg: cfg}, nil
}

// Decide returns the instances to start and stop now, and the State for the next
// call. Call it about every minute and after each reclaim notice or refusal.
func (s *Scaler) Decide(state State, in Input) (State, Plan) {
	reason := s.cfg.updateTarget(&state, in.Demand, in.Now)
	p := s.newPlanner(&state, &in)
	p.plan = Plan{Reason: reason, Wanted: state.Capacity}
	p.fillShares()
	p.fillRemaining()
	p.swap()
	p.stopSurplus()
	p.plan.Shortfall = max(p.wanted-p.planned.withoutLargest(), 0)
	return state, p.plan
}

// offer is an Option with its capacity and price.
type offer struct {
	Option
	centre    int     // index of the data centre
	capacity  float64 // work per second
	price     float64 // currency units per hour, including the expected cost of reclaims
	startable bool    // not in backoff
}

// planner holds the intermediate state of one Decide call.
type planner struct {
	s       *Scaler
	state   *State
	in      *Input
	offers  []offer
	wanted  float64
	planned centreCapacity // by data centre, starting or serving
	serving centreCapacity
	plan    Plan
}

func (s *Scaler) newPlanner(state *State, in *Input) *planner {
	p := &planner{s: s, state: state, in: in, wanted: state.Capacity}
	centres := dataCentres(in.Zones)
	p.planned = make(centreCapacity, len(centres))
	p.serving = make(centreCapacity, len(centres))
	for i := range in.Zones {
		p.addOffers(&in.Zones[i], slices.Index(centres, in.Zones[i].DataCentre))
	}
	for _, instance := range in.Fleet {
		o := p.findOffer(instance.Option)
		if o == nil || instance.Phase == PhaseLeaving {
			continue
		}
		p.planned[o.centre] += o.capacity
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
				price += p.reclaimsPerHour(z.Name) * p.s.cfg.ReclaimCost
			}
			option := Option{z.Name, class.Name, market}
			p.offers = append(p.offers, offer{option, centre, class.Capacity, price, p.state.startable(option, p.in.Now)})
		}
	}
}

func (p *planner) reclaimsPerHour(name string) float64 {
	for _, r := range p.in.Risks {
		if r.Zone == name {
			return r.PerHour
		}
	}
	return 0
}

func (p *planner) findOffer(option Option) *offer {
	for i := range p.offers {
		if p.offers[i].Option == option {
			return &p.offers[i]
		}
	}
	return nil
}

// cheapest returns the accepted offer with the lowest price per useful capacity, or
// nil. Capacity above need is not useful, so a small remainder is filled with a
// small machine.
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

// fillShares starts reclaimable instances in each data centre up to its share.
func (p *planner) fillShares() {
	for centre, share := range p.targetShares() {
		for p.planned[centre] < share && !p.wantedMet() {
			o := p.cheapest(share-p.planned[centre], func(o *offer) bool {
				return o.centre == centre && o.startable && o.Market == zone.Reclaimable
			})
			if o == nil || !p.start(o, ReasonSpread) {
				break
			}
		}
	}
}

// targetShares returns the target capacity of each data centre: equal shares in the
// k cheapest ones, for the k with the lowest total price.
func (p *planner) targetShares() centreCapacity {
	type centrePrice struct {
		centre int
		price  float64 // per unit of work per second
	}
	var ranked []centrePrice
	for centre := range p.planned {
		o := p.cheapest(p.wanted, func(o *offer) bool { return o.centre == centre && o.Market == zone.Reclaimable })
		if o != nil {
			ranked = append(ranked, centrePrice{centre, o.price / o.capacity})
		}
	}
	slices.SortStableFunc(ranked, func(a, b centrePrice) int {
		if a.price < b.price {
			return -1
		}
		if a.price > b.price {
			return 1
		}
		return 0
	})
	bestCount, bestPrice, priceSum := 0, 0.0, 0.0
	for i, r := range ranked {
		priceSum += r.price
		if price := priceSum / float64(i); i > 0 && (bestCount == 0 || price < bestPrice) {
			bestCount, bestPrice = i+1, price
		}
	}
	shares := make(centreCapacity, len(p.planned))
	for _, r := range ranked[:bestCount] {
		shares[r.centre] = p.wanted / float64(bestCount-1)
	}
	return shares
}

// fillRemaining starts what is missing after fillShares: in any data centre, and on
// demand if no reclaimable option can be started.
func (p *planner) fillRemaining() {
	for !p.wantedMet() {
		need := p.wanted - p.planned.withoutLargest()
		o := p.bestAddition(need, zone.Reclaimable)
		reason := ReasonElsewhere
		if o == nil {
			o = p.bestAddition(need, zone.OnDemand)
			reason = ReasonLastResort
		}
		if o == nil || !p.start(o, reason) {
			return
		}
	}
}

// bestAddition returns the cheapest startable offer that increases the capacity
// without the largest data centre. If none does, because the largest ones are
// equal in size, it returns an offer in the smallest data centre.
func (p *planner) bestAddition(need float64, market zone.Market) *offer {
	startable := func(o *offer) bool { return o.startable && o.Market == market }
	current := p.planned.withoutLargest()
	if o := p.cheapest(need, func(o *offer) bool { return startable(o) && p.planned.withoutLargestAfter(o) > current }); o != nil {
		return o
	}
	var smallest *offer
	usableCentres := 0
	for i := range p.offers {
		o := &p.offers[i]
		if !startable(o) {
			continue
		}
		if smallest == nil || o.centre != smallest.centre {
			usableCentres++
		}
		if smallest == nil || p.planned[o.centre] < p.planned[smallest.centre] {
			smallest = o
		}
	}
	if usableCentres < 2 {
		return nil // a single data centre cannot survive its own loss
	}
	return smallest
}

func (p *planner) wantedMet() bool { return p.planned.withoutLargest() >= p.wanted-epsilon }

// start adds a start to the plan and reports false if the plan is full.
func (p *planner) start(o *offer, reason Reason) bool {
	if len(p.plan.Starts) >= p.s.cfg.MaxStarts {
		return false
	}
	ordinal := p.state.nextOrdinal(o.Option)
	for _, earlier := range p.plan.Starts {
		if earlier.Option == o.Option {
			ordinal++
		}
	}
	token := fmt.Sprintf("%s/%s/%s/%s/%d", p.s.site, o.Zone, o.Class, o.Market, ordinal)
	p.plan.Starts = append(p.plan.Starts, Start{token, o.Option, ordinal, reason})
	p.planned[o.centre] += o.capacity
	return true
}

// swap starts one reclaimable instance to replace an on-demand one, which stopSurplus
// stops once the new one serves. It starts one at a time, as the wave may not be
// over.
func (p *planner) swap() {
	onDemand := slices.ContainsFunc(p.in.Fleet, func(i Instance) bool {
		return i.Phase == PhaseServing && i.Option.Market == zone.OnDemand
	})
	starting := slices.ContainsFunc(p.in.Fleet, func(i Instance) bool { return i.Phase == PhaseStarting })
	if !onDemand || starting || len(p.plan.Starts) > 0 || p.in.Now.Sub(p.state.LastSwap) < p.s.cfg.SwapEvery {
		return
	}
	if o := p.bestAddition(p.wanted, zone.Reclaimable); o != nil && p.start(o, ReasonSwap) {
		p.state.LastSwap = p.in.Now
	}
}

// stopSurplus stops the most expensive instances while the remaining serving ones
// still meet the target. Starting instances do not count, as their start may fail.
func (p *planner) stopSurplus() {
	fleet := slices.Clone(p.in.Fleet)
	slices.SortStableFunc(fleet, func(a, b Instance) int {
		return -compareUnitPrice(p.findOffer(a.Option), p.findOffer(b.Option))
	})
	for _, instance := range fleet {
		o := p.findOffer(instance.Option)
		if o == nil || instance.Phase != PhaseServing {
			continue
		}
		p.serving[o.centre] -= o.capacity
		if p.serving.withoutLargest() < p.wanted {
			p.serving[o.centre] += o.capacity
			continue
		}
		p.planned[o.centre] -= o.capacity
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

// epsilon allows for rounding errors in sums of capacities, in work per second.
const epsilon = 1e-6

// centreCapacity is the capacity of each data centre, in work per second.
type centreCapacity []float64

// withoutLargest returns the capacity that remains after the loss of the largest data
// centre. With a single data centre it returns the whole capacity.
func (c centreCapacity) withoutLargest() float64 {
	if len(c) == 1 {
		return c[0]
	}
	total, largest := 0.0, 0.0
	for _, v := range c {
		total += v
		largest = max(largest, v)
	}
	return total - largest
}

// withoutLargestAfter returns withoutLargest with one more instance of the offer.
func (c centreCapacity) withoutLargestAfter(o *offer) float64 {
	c[o.centre] += o.capacity
	defer func() { c[o.centre] -= o.capacity }()
	return c.withoutLargest()
}
