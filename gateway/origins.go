package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/policy/quorum"
)

const (
	// originDelayPerEntry is by how much the collection of records grows with each entry, within
	// minOriginDelay and maxOriginDelay: each message costs the replicas something.
	minOriginDelay      = 5 * time.Millisecond
	maxOriginDelay      = 200 * time.Millisecond
	originDelayPerEntry = 250 * time.Microsecond
	// minOriginCopies is the least number of replicas that hold a record.
	minOriginCopies = 2
	// originCallTimeout bounds a call to one replica.
	originCallTimeout = 250 * time.Millisecond
	// originRounds is how often the replicas are asked for an origin, originRoundGap apart: a record
	// may be on its way, and a replica about to be reached.
	originRounds   = 3
	originRoundGap = 60 * time.Millisecond
	// mixedTTL is how long a replica's report counts that a service has several versions.
	mixedTTL = 10 * time.Second
)

// origins remembers which version began the streams of this entry, and records it at control replicas
// while several versions may have begun streams. It is safe for concurrent use.
type origins struct {
	now      func() time.Time
	copies   int          // replicas that hold a record
	self     string       // name of this entry
	entries  atomic.Int64 // number of live entries
	replicas func() []string
	call     originCaller

	mu       sync.Mutex
	own      *origin.Table
	versions *origin.Versions     // that this entry has known
	mixed    map[string]time.Time // by service: when a replica last reported several versions
	recorded map[string]bool      // services whose streams are recorded; a set
	pending  []origin.Record
	flushing bool
}

// originCaller calls one control replica.
type originCaller struct {
	record func(ctx context.Context, addr string, records []origin.Record) error
	find   func(ctx context.Context, addr string, key origin.Key, service string) (origin.Reply, error)
	start  func(ctx context.Context, addr, server string) (api.ServerStartReply, error)
}

func (g *Gateway) newOrigins() *origins {
	return &origins{
		now: g.now, copies: max(g.cfg.Node.Tolerance.Instances+1, minOriginCopies), self: g.cfg.Node.Name,
		replicas: func() []string { return g.follower.Replicas() },
		call: originCaller{
			record: func(ctx context.Context, addr string, records []origin.Record) error {
				_, err := link.Call[api.RecordOriginsReply](ctx, g.links, addr, api.MethodRecordOrigins, api.RecordOriginsRequest{Records: records})
				return err
			},
			find: func(ctx context.Context, addr string, key origin.Key, service string) (origin.Reply, error) {
				return link.Call[origin.Reply](ctx, g.links, addr, api.MethodFindOrigin, api.FindOriginRequest{Key: key, Service: service})
			},
			start: func(ctx context.Context, addr, server string) (api.ServerStartReply, error) {
				return link.Call[api.ServerStartReply](ctx, g.links, addr, api.MethodServerStart, api.ServerStartRequest{Server: server})
			},
		},
		own: origin.NewTable(), versions: origin.NewVersions(), mixed: make(map[string]time.Time), recorded: make(map[string]bool),
	}
}

// seeVersion records that a server of a version is known. The streams of a service that has got a second
// one are recorded from now on, with those that have begun before.
func (o *origins) seeVersion(sv origin.ServiceVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.versions.See(sv, o.now()) {
		o.updateRecorded(sv.Service)
	}
}

// reportMixed applies what a replica reports on services with several versions.
func (o *origins) reportMixed(services []string) {
	if len(services) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range services {
		o.mixed[s] = o.now()
		o.updateRecorded(s)
	}
}

// updateRecorded records the streams of a service if it may have several versions. o.mu is held.
func (o *origins) updateRecorded(service string) {
	if !o.isMixed(service) {
		delete(o.recorded, service)
		return
	}
	if o.recorded[service] {
		return
	}
	o.recorded[service] = true
	o.enqueue(o.own.Records(service, o.now())...)
}

// isMixed reports whether several versions of a service may have begun streams. o.mu is held.
func (o *origins) isMixed(service string) bool {
	now := o.now()
	if at, reported := o.mixed[service]; reported && now.Sub(at) < mixedTTL {
		return true
	}
	return len(o.versions.Of(service, now)) > 1
}

// expire forgets versions that no longer matter. known are those of the servers that are known now.
func (o *origins) expire(known []origin.ServiceVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for _, sv := range known {
		o.versions.See(sv, now)
	}
	o.versions.Expire(nil, now)
	for service := range o.recorded {
		o.updateRecorded(service)
	}
}

// add records the origin of a stream whose first event goes to the caller now. always says that the
// replicas are to know it whatever versions there are.
func (o *origins) add(r origin.Record, always bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own.Add(&r, o.now())
	if always || o.recorded[r.Service] {
		o.enqueue(r)
	}
}

// get returns the origin of a stream that this entry began.
func (o *origins) get(key origin.Key) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Get(key, o.now())
}

// enqueue adds records to those that are sent next. o.mu is held.
func (o *origins) enqueue(records ...origin.Record) {
	if len(records) == 0 {
		return
	}
	o.pending = append(o.pending, records...)
	if o.flushing {
		return
	}
	o.flushing = true
	delay := min(max(time.Duration(o.entries.Load())*originDelayPerEntry, minOriginDelay), maxOriginDelay)
	time.AfterFunc(delay, o.flush)
}

// flush sends the pending records to as many replicas as are to hold them. One that is not reached is
// replaced by the next one.
func (o *origins) flush() {
	o.mu.Lock()
	records := o.pending
	o.pending, o.flushing = nil, false
	o.mu.Unlock()
	addrs := o.holders()
	next := make(chan string, len(addrs))
	for _, addr := range addrs {
		next <- addr
	}
	close(next)
	for range min(o.copies, len(addrs)) {
		go func() {
			for addr := range next {
				ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
				err := o.call.record(ctx, addr, records)
				cancel()
				if err == nil {
					return
				}
			}
		}()
	}
}

// holders returns the replicas in the order in which this entry prefers them. The orders of the entries
// differ, so that the records are spread evenly.
func (o *origins) holders() []string {
	list := o.replicas()
	slices.SortFunc(list, func(a, b string) int {
		x, y := xxhash.Sum64String(o.self+a), xxhash.Sum64String(o.self+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
	return list
}

// find returns the origin of the stream that an attempt began, as far as this entry or the control
// replicas know it. Unless it is known, further tries may succeed if the knowledge is Undecided.
func (o *origins) find(ctx context.Context, key origin.Key, service string) (f finding) {
	if began, known := o.get(key); known {
		return finding{origin: began, knowledge: origin.Known}
	}
	for round := range originRounds {
		if round > 0 {
			select {
			case <-ctx.Done():
				return f
			case <-time.After(originRoundGap):
			}
		}
		if f = o.ask(ctx, key, service); f.knowledge == origin.Known {
			return f
		}
	}
	return f
}

// finding is what is known of the origin of a stream, and how many replicas it is based on.
type finding struct {
	origin    origin.Origin
	knowledge origin.Knowledge
	asked     int
	replied   int
	applied   int // of those that replied, have applied all versions in their logs
}

func newFinding(service string, asked int, replies []origin.Reply, all bool) finding {
	f := finding{asked: asked, replied: len(replies)}
	f.origin, f.knowledge = origin.Decide(service, replies, all)
	for _, r := range replies {
		if r.Applied {
			f.applied++
		}
	}
	return f
}

// undecided says in short why the origin is not known, for logs.
func (f *finding) undecided() string {
	return fmt.Sprintf("no majority of the voters can tell: %d of %d control replicas replied, %d have applied their logs", f.replied, f.asked, f.applied)
}

// ask asks all replicas once.
func (o *origins) ask(ctx context.Context, key origin.Key, service string) finding {
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	addrs := o.replicas()
	results := make(chan *origin.Reply, len(addrs))
	for _, addr := range addrs {
		go func() {
			r, err := o.call.find(ctx, addr, key, service)
			if err != nil {
				results <- nil
				return
			}
			results <- &r
		}()
	}
	var replies []origin.Reply
	for range addrs {
		r := <-results
		if r == nil {
			continue
		}
		replies = append(replies, *r)
		if f := newFinding(service, len(addrs), replies, false); f.knowledge != origin.Undecided {
			return f
		}
	}
	return newFinding(service, len(addrs), replies, len(replies) == len(addrs))
}

// confirms reports whether a majority of the voters knows no later start of a server than this one. What
// this entry knows may be old, and a server that has started again under its id may have another version.
func (o *origins) confirms(ctx context.Context, server string, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	addrs := o.replicas()
	replies := make(chan *api.ServerStartReply, len(addrs))
	for _, addr := range addrs {
		go func() {
			r, err := o.call.start(ctx, addr, server)
			if err != nil {
				replies <- nil
				return
			}
			replies <- &r
		}()
	}
	var known, confirming []quorum.View
	for range addrs {
		r := <-replies
		if r == nil {
			continue
		}
		known = append(known, r.View)
		if r.Incarnation <= incarnation {
			confirming = append(confirming, r.View)
		}
		if quorum.Majority(confirming, known) {
			return true
		}
	}
	return len(addrs) == 0
}
