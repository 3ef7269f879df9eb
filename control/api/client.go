package api

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/policy/throttle"
)

// attemptTimeout bounds one call to one replica, so that an unresponsive replica
// does not use up the caller's whole deadline.
const attemptTimeout = 900 * time.Millisecond

// retryInterval is the wait between two rounds of calls to all replicas. It is
// shorter than an election, so that a new leader is found soon.
const retryInterval = 60 * time.Millisecond

// ErrNoMajority means that fewer than a majority of the control replicas replied.
var ErrNoMajority = errors.New("no majority of control replicas answered")

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	pool            *link.Pool
	initialReplicas []string // link addresses from the settings
	idHash          uint64   // selects the replica from which Catalogue fetches first

	fetchMu  sync.Mutex
	receiver document.Receiver // of encoded CatalogueReplies

	mu        sync.Mutex
	replicas  []string // link addresses of the voters, as last reported; "" if unknown
	preferred int      // index in replicas of the one that replied last; called first
}

// NewClient returns a client that starts with the replicas at these link addresses
// and takes over changes of the replica set that they report. id is the id of the
// calling instance. Its hash selects the replica from which Catalogue fetches first,
// which spreads the instances' fetches over the replicas.
func NewClient(pool *link.Pool, replicas []string, id string) *Client {
	return &Client{
		pool: pool, initialReplicas: slices.Clone(replicas), replicas: slices.Clone(replicas),
		idHash: xxhash.Sum64String(id),
	}
}

// Replicas returns the link addresses of the control replicas that vote, with "" for
// each that is unknown.
func (c *Client) Replicas() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.replicas)
}

func (c *Client) setReplicas(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas, c.preferred = replicas, 0
}

// Confirmation contains the log indexes of catalogue changes and of quarantine records
// that a majority of replicas reported.
type Confirmation struct {
	// Needed is the index that a catalogue must have reached to be current: no
	// change above it had been accepted when Confirm was called.
	Needed uint64
	// Newest is the highest index that any replica reported.
	Newest uint64
	// NeededQuarantine is like Needed, for quarantine records.
	NeededQuarantine uint64
}

// Confirm calls every voter for the index of its newest catalogue change. It
// returns once all have replied, majorityGrace after a majority has, or after
// attemptTimeout. It returns ErrNoMajority if too few have replied.
//
// A change is accepted once it is in the logs of a majority. Any majority of
// replies includes a replica of that majority. So the smallest index that the
// replies of a majority do not exceed is at least the index of every accepted
// change. A change that only a replaced leader has in its log was not accepted.
//
// This holds for the current voters only, so Confirm calls again if a reply reports
// other voters than those called. It arrives at the current ones: two successive
// sets differ by one replica, so any majority of one includes a replica of the
// majority that committed the next, and that replica reports the next. A set that a
// replaced leader appended and never committed loses by the older term of that log,
// as in an election.
func (c *Client) Confirm(ctx context.Context) (Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	replicas := c.Replicas()
	for range maxVoterSets {
		replies := callAll[VersionReply](ctx, c.pool, replicas, MethodVersion, VersionRequest{})
		if allHaveVoters(replies, VotersHash(replicas)) {
			return confirmation(replies, len(replicas))
		}
		votersReplies := callAll[VotersReply](ctx, c.pool, replicas, MethodVoters, VotersRequest{})
		voters := newestVoters(votersReplies)
		switch {
		case len(voters) == 0:
			c.setReplicas(slices.Clone(c.initialReplicas)) // no known replica replied: start again from the settings
			return Confirmation{}, trace.Wrap(ErrNoMajority)
		case sameAddresses(voters, replicas) && len(votersReplies) > len(replicas)/2:
			return confirmation(replies, len(voters))
		}
		replicas = voters
		c.setReplicas(voters)
	}
	return Confirmation{}, trace.Wrap(ErrNoMajority)
}

// allHaveVoters reports whether there are replies and all have these voters.
func allHaveVoters(replies []VersionReply, votersHash uint64) bool {
	return len(replies) > 0 && !slices.ContainsFunc(replies, func(a VersionReply) bool { return a.Set != votersHash })
}

// maxVoterSets bounds the sets of voters that one Confirm calls.
const maxVoterSets = 8

// callAll sends one request to all replicas and returns the replies, in order of
// arrival. It skips empty addresses.
func callAll[Resp any](ctx context.Context, p *link.Pool, replicas []string, method string, req any) []Resp {
	replies := make(chan *Resp, len(replicas))
	for _, addr := range replicas {
		go func() {
			if addr == "" {
				replies <- nil // unknown to the replica that reported this voter
				return
			}
			reply, err := link.Call[Resp](ctx, p, addr, method, req)
			if err != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	return collectReplies(ctx, replies, len(replicas))
}

// majorityGrace is how long callAll waits for the remaining replicas once a
// majority has replied. They may report a newer index; an unresponsive one must not
// delay each confirmation until attemptTimeout.
const majorityGrace = 20 * time.Millisecond

// collectReplies receives the replies of called replicas, nil for a failed call,
// and returns the others. It returns early majorityGrace after a majority has
// replied, or when ctx ends.
func collectReplies[Resp any](ctx context.Context, replies <-chan *Resp, called int) []Resp {
	var out []Resp
	var grace <-chan time.Time
	for range called {
		select {
		case reply := <-replies:
			if reply != nil {
				out = append(out, *reply)
			}
		case <-grace:
			return out
		case <-ctx.Done():
			return out
		}
		if len(out) > called/2 && grace == nil {
			grace = time.After(majorityGrace)
		}
	}
	return out
}

// newestVoters returns the addresses of the latest voters in the replies, by the
// log's term and then by index. An unknown address is empty.
func newestVoters(replies []VotersReply) []string {
	var newest VotersReply
	for _, a := range replies {
		isLater := cmp.Or(cmp.Compare(a.Term, newest.Term), cmp.Compare(a.VotersIndex, newest.VotersIndex)) > 0
		if len(a.Voters) > 0 && (len(newest.Voters) == 0 || isLater) {
			newest = a
		}
	}
	return Addresses(newest.Voters)
}

func sameAddresses(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

func confirmation(replies []VersionReply, voters int) (Confirmation, error) {
	majority := voters/2 + 1
	if len(replies) < majority {
		return Confirmation{}, trace.Wrap(ErrNoMajority)
	}
	catalogue := make([]uint64, 0, len(replies))
	records := make([]uint64, 0, len(replies))
	for _, a := range replies {
		catalogue = append(catalogue, a.Index)
		records = append(records, a.Quarantine)
	}
	slices.Sort(catalogue)
	slices.Sort(records)
	return Confirmation{
		Needed: catalogue[majority-1], Newest: catalogue[len(catalogue)-1],
		NeededQuarantine: records[majority-1],
	}, nil
}

// catalogueFetchTime bounds one call of Catalogue, so that its caller can confirm the catalogue
// that it has while a newer one is on its way.
const catalogueFetchTime = time.Second

// Catalogue fetches a catalogue above index knownIndex from the replicas, part by part. The reply
// is marked Unchanged if no replica has one and at least one replied, or if not all parts arrived
// in time: the next call goes on with what is missing.
func (c *Client) Catalogue(ctx context.Context, knownIndex uint64) (CatalogueReply, error) {
	c.fetchMu.Lock()
	defer c.fetchMu.Unlock()
	unchanged := CatalogueReply{Unchanged: true, Index: knownIndex}
	var lastErr error
	replied := false
	replicas := withoutUnknown(c.Replicas())
	start := int(c.idHash % uint64(max(1, len(replicas))))
	deadline := time.Now().Add(catalogueFetchTime)
	for _, addr := range rotated(replicas, start) {
		reply, found, err := c.fetchFrom(ctx, addr, deadline)
		if err != nil {
			lastErr = err
			continue
		}
		if found && reply.Index > knownIndex {
			return reply, nil
		}
		if !time.Now().Before(deadline) {
			return unchanged, nil
		}
		replied = true
	}
	if replied {
		return unchanged, nil
	}
	return CatalogueReply{}, trace.Wrap(lastErr, "step=fetch catalogue")
}

// fetchFrom takes parts from one replica until a catalogue is complete, the replica has none that is
// newer, or the deadline has passed. found is true in the first case.
func (c *Client) fetchFrom(ctx context.Context, addr string, deadline time.Time) (reply CatalogueReply, found bool, err error) {
	for time.Now().Before(deadline) {
		part, err := callReplica[document.Part](ctx, c.pool, addr, MethodCatalogue, c.receiver.Request(cataloguePartBytes))
		if err != nil {
			return reply, false, err
		}
		_, encoded, done, err := c.receiver.Accept(&part)
		if err != nil {
			return reply, false, trace.Wrap(err, "step=assemble catalogue peer=%s", addr)
		}
		if done {
			reply, err = DecodeCatalogue(encoded)
			return reply, err == nil, err
		}
		if part.Status == document.StatusNone {
			return reply, false, nil
		}
	}
	return reply, false, nil
}

// Ledger commits one command and returns its result. Commands are idempotent, so a
// failed call is repeated at other replicas until ctx ends. After an error the
// command may or may not have been committed.
func (c *Client) Ledger(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	var out ledger.Result
	err := c.Propose(ctx, KindLedger, &cmd, &out)
	return out, err
}

// Propose commits v, msgpack-encoded, and decodes the result into out, a pointer.
// It repeats failed calls until ctx ends, so v must be idempotent. After an error
// v may or may not have been committed.
func (c *Client) Propose(ctx context.Context, kind ProposalKind, v, out any) error {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return trace.Wrap(err, "step=encode proposal")
	}
	req := ProposeRequest{Kind: kind, Data: data}
	for {
		var lastErr error
		for _, addr := range c.callOrder() {
			reply, err := callReplica[ProposeReply](ctx, c.pool, addr, MethodPropose, req)
			if err == nil {
				c.preferReplica(addr)
				return trace.Wrap(msgpack.Unmarshal(reply.Result, out), "step=decode result peer=%s", addr)
			}
			lastErr = err
			if isPermanent(err) || ctx.Err() != nil {
				return trace.Wrap(lastErr, "step=propose")
			}
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(lastErr, "step=propose")
		case <-time.After(retryInterval):
		}
	}
}

// Leases reports an entry's demand to the leader and returns the entry's leases. It
// calls each replica at most once until one replies.
func (c *Client) Leases(ctx context.Context, r admit.Report) (admit.Reply, error) {
	reply, err := callLeader[admit.Reply](ctx, c, MethodLeases, r)
	return reply, trace.Wrap(err, "step=report demand")
}

// ServerTokens asks the leader for tokens of a server that names a limit. It calls each replica at
// most once until one replies.
func (c *Client) ServerTokens(ctx context.Context, r throttle.Request) (throttle.Reply, error) {
	reply, err := callLeader[throttle.Reply](ctx, c, MethodServerTokens, r)
	return reply, trace.Wrap(err, "step=take server tokens")
}

// callLeader calls the replicas in turn, from the one that replied last, until one replies.
func callLeader[Resp any](ctx context.Context, c *Client, method string, req any) (reply Resp, err error) {
	for _, addr := range c.callOrder() {
		if reply, err = callReplica[Resp](ctx, c.pool, addr, method, req); err == nil {
			c.preferReplica(addr)
			return reply, nil
		}
	}
	return reply, err
}

// isPermanent reports whether every replica would return this error.
func isPermanent(err error) bool {
	var remote *link.RemoteError
	return errors.As(err, &remote) && remote.Code == CodeInvalid
}

// Status returns the status of every replica. One that cannot be reached has only
// its address, as ID, and Error.
func (c *Client) Status(ctx context.Context) []ReplicaStatus {
	replicas := c.Replicas()
	out := make([]ReplicaStatus, len(replicas))
	var wg sync.WaitGroup
	for i, addr := range replicas {
		wg.Go(func() {
			s, err := callReplica[ReplicaStatus](ctx, c.pool, addr, MethodStatus, StatusRequest{})
			if err != nil {
				s = ReplicaStatus{ID: addr, Error: err.Error()}
			}
			out[i] = s
		})
	}
	wg.Wait()
	return out
}

func callReplica[Resp any](ctx context.Context, p *link.Pool, addr, method string, req any) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return link.Call[Resp](ctx, p, addr, method, req)
}

// callOrder returns the known addresses of the replicas, starting with the one that
// replied last.
func (c *Client) callOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return withoutUnknown(rotated(c.replicas, c.preferred))
}

// withoutUnknown removes the empty addresses, in place.
func withoutUnknown(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(addr string) bool { return addr == "" })
}

// rotated returns a copy of addresses that begins at index start and wraps around.
func rotated(addresses []string, start int) []string {
	return append(slices.Clone(addresses[start:]), addresses[:start]...)
}

func (c *Client) preferReplica(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = max(0, slices.Index(c.replicas, addr))
}
