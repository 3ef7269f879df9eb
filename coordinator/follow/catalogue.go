package follow

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"savoryreel.example/savoryreel/coordinator/api"
	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/link"
)

const (
	// cataloguePartBytes is the size of a part of the catalogue. It takes little of a slow link at
	// a time, so that replies to watch calls don't wait long behind it.
	cataloguePartBytes = 32 << 10
	// partTimeout bounds a call for a part. It is long: a stalled replica costs the delay after
	// which the next one is asked too.
	partTimeout = 5 * time.Second
	// minHedgeDelay and maxHedgeDelay bound the time after which another replica is asked for a
	// part, and hedgeFactor says how many times longer than the last part it must have taken.
	minHedgeDelay = 300 * time.Millisecond
	maxHedgeDelay = 3 * time.Second
	hedgeFactor   = 3
	// maxAsked bounds the replicas that are asked for one part at a time. It exceeds the number
	// that a site bears to lose at once.
	maxAsked = 3
	// lackingRetryDelay is the pause before the replicas are asked again while none sends what
	// the process lacks.
	lackingRetryDelay = 200 * time.Millisecond
)

// catalogueFetch receives the catalogue from the replicas in parts, apart from the watch calls. One
// part is on its way at a time, or up to maxAsked if the first is late, so that a large catalogue neither
// fills a slow link nor times out as a whole.
type catalogueFetch struct {
	receiver document.Receiver // used by one goroutine
	wake     chan struct{}     // receives a value when the process may lack a revision
	hedge    time.Duration     // delay before another replica is asked
	first    string            // replica that is asked first, if it has the revision: it sent the last part
	failures int               // since the last part
}

func newCatalogueFetch() *catalogueFetch {
	return &catalogueFetch{wake: make(chan struct{}, 1), hedge: minHedgeDelay}
}

func (c *catalogueFetch) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// fetchCatalogues fetches each newer revision that a replica has reported, until ctx ends.
func (f *Follower) fetchCatalogues(ctx context.Context) {
	for ctx.Err() == nil {
		f.fetchNewest(ctx)
		var retry <-chan time.Time
		if f.lacksCatalogue() {
			retry = time.After(lackingRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-f.fetch.wake:
		case <-retry:
		}
	}
}

// lacksCatalogue reports whether the process has no catalogue, or a replica has reported a newer
// one.
func (f *Follower) lacksCatalogue() bool {
	held, ok := f.fetch.receiver.Held()
	return !ok || f.source.highest() > held.Revision
}

// fetchNewest takes parts until the process lacks nothing or no replica sends one.
func (f *Follower) fetchNewest(ctx context.Context) {
	for f.fetch.failures = 0; ctx.Err() == nil && f.lacksCatalogue(); {
		if f.fetch.failures >= len(f.holders()) {
			return
		}
		reply := f.fetchPart(ctx)
		if reply.err != nil || reply.part.Status != document.StatusPart {
			f.fetch.failures++
			f.fetch.first = ""
		}
		if reply.err == nil {
			f.acceptPart(ctx, &reply)
		}
	}
}

// acceptPart adds a part to what has arrived, and passes on a catalogue that is complete.
func (f *Follower) acceptPart(ctx context.Context, r *partReply) {
	revision, content, done, err := f.fetch.receiver.Accept(&r.part)
	if err != nil {
		event.Log(ctx, f.deps.Log, slog.LevelWarn, event.CataloguePartRefused, slog.String("peer", r.addr), slog.String("error", err.Error()))
		f.fetch.failures++
		return
	}
	if r.part.Status == document.StatusPart {
		f.fetch.failures = 0
		f.fetch.first = r.addr
		f.fetch.hedge = min(max(hedgeFactor*r.took, minHedgeDelay), maxHedgeDelay)
	}
	if done {
		f.deps.Catalogue(r.addr, revision, content)
	}
}

// holders returns the replicas that have reported the highest revision, in the order in which they
// are asked for a part.
func (f *Follower) holders() []string {
	holders := f.source.holders()
	if i := slices.Index(holders, f.fetch.first); i > 0 {
		return append(slices.Clone(holders[i:]), holders[:i]...)
	}
	if len(holders) == 0 {
		return nil
	}
	start := f.fetch.failures % len(holders)
	return append(slices.Clone(holders[start:]), holders[:start]...)
}

// partReply is the end of a call for a part.
type partReply struct {
	part document.Part
	addr string
	took time.Duration
	err  error
}

// fetchPart asks a replica for the next part, and others as well while it is late: those that have
// the revision by then. It returns the first response.
func (f *Follower) fetchPart(ctx context.Context) partReply {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	req := f.fetch.receiver.Request(cataloguePartBytes)
	replies := make(chan partReply, maxAsked)
	asked := make(map[string]bool)
	f.askForPart(ctx, req, asked, replies)
	hedge := time.NewTicker(f.fetch.hedge)
	defer hedge.Stop()
	for failed := 0; ; {
		select {
		case r := <-replies:
			if r.err == nil {
				return r
			}
			if failed++; failed == len(asked) {
				return r
			}
		case <-hedge.C:
			f.askForPart(ctx, req, asked, replies)
		case <-ctx.Done():
			return partReply{err: ctx.Err()}
		}
	}
}

// askForPart asks the first holder that was not asked before, unless maxAsked were.
func (f *Follower) askForPart(ctx context.Context, req document.Request, asked map[string]bool, replies chan<- partReply) {
	holders := slices.DeleteFunc(f.holders(), func(addr string) bool { return asked[addr] })
	if len(holders) == 0 || len(asked) >= maxAsked {
		return
	}
	addr := holders[0]
	asked[addr] = true
	go func() {
		sentAt := f.deps.Now()
		part, err := link.Call[document.Part](ctx, f.deps.Pool, addr, api.MethodDocument, req)
		replies <- partReply{part: part, addr: addr, took: f.deps.Now().Sub(sentAt), err: err}
	}()
}
