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

	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/admit"
)

// attemptTimeout bounds one call to one replica, so that a replica that has
// frozen costs a client this long and not its whole deadline.
const attemptTimeout = 900 * time.Millisecond

// retryPause is the wait between two rounds over all replicas. An election
// takes a few of them.
const retryInterval = 60 * time.Millisecond

// ErrNoMajority says that too few control replicas answered.
var ErrNoMajority = errors.New("no majority of control replicas answered")

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	pool            *link.Pool
	initialReplicas []string // link addresses of the settings
	idHash          uint64   // decides where this client begins to look for a newer catalogue

	mu        sync.Mutex
	replicas  []string // link addresses of the voters, as last learnt; empty: not known
	preferred int      // the replica that answered last, tried first
}

// NewClient returns a client that knows the replicas at these link addresses and
// learns of later ones from them. id names the instance that asks; it decides at
// which replica it fetches a catalogue, so that not all instances fetch a change
// from the same one.
func NewClient(pool *link.Pool, replicas []string, id string) *Client {
	return &Client{
		pool: pool, initialReplicas: slices.Clone(replicas), replicas: slices.Clone(replicas),
		idHash: xxhash.Sum64String(id),
	}
}

// Replicas returns the link addresses of the control replicas.
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

// Confirmation is what a majority of replicas said of the catalogue.
type Confirmation struct {
	// Needed is an index that a catalogue must have reached to be current: no
	// change beyond it had been accepted when the question was asked.
	Needed uint64
	// Newest is the highest index that any replica named.
	Newest uint64
}

// Confirm asks every voter for the index of its newest catalogue change and
// returns once all have answered or their time is over.
//
// A change counts as accepted once it is in the logs of a majority. Any
// majority of answers shares a replica with that one, so the smallest index
// that covers a majority of answers is at least the index of every accepted
// change; what a cut-off old leader has in its log beyond that was not accepted.
//
// That holds for the voters in force only, so it asks again as long as an answer
// names other voters than those asked. It ends with the right ones: a set
// differs from the next by one replica, so a majority of one shares a replica
// with the majority that committed the next, and that replica names it. A set
// that a replaced leader left in one log and never committed is told by that
// log's older term, as in an election.
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
			c.setReplicas(slices.Clone(c.initialReplicas)) // all it knew are gone: back to the settings
			return Confirmation{}, trace.Wrap(ErrNoMajority)
		case sameAddresses(voters, replicas) && len(votersReplies) > len(replicas)/2:
			return confirmation(replies, len(voters))
		}
		replicas = voters
		c.setReplicas(voters)
	}
	return Confirmation{}, trace.Wrap(ErrNoMajority)
}

// agreed reports whether all that answered have this set of voters.
func allHaveVoters(replies []VersionReply, votersHash uint64) bool {
	return len(replies) > 0 && !slices.ContainsFunc(replies, func(a VersionReply) bool { return a.Set != votersHash })
}

// maxSets bounds the replica sets that one confirmation follows.
const maxVoterSets = 8

// ask asks the replicas the same and returns the answers that came.
func callAll[Resp any](ctx context.Context, p *link.Pool, replicas []string, method string, req any) []Resp {
	replies := make(chan *Resp, len(replicas))
	for _, addr := range replicas {
		go func() {
			if addr == "" {
				replies <- nil // not known to the replica that named this voter
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

// confirmGrace is how long a question to all waits for the rest of the replicas
// once a majority has answered. The rest may name a newer index, which saves a
// round; a frozen one would otherwise hold up each confirmation for the whole
// timeout.
const majorityGrace = 20 * time.Millisecond

// collect gathers the answers of the replicas asked until all are in, or the
// grace after a majority is over.
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

// newestVoters returns the addresses of the latest set of voters that an answer
// names; an address that is not known is empty.
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
	indexes := make([]uint64, 0, len(replies))
	for _, a := range replies {
		indexes = append(indexes, a.Index)
	}
	slices.Sort(indexes)
	return Confirmation{Needed: indexes[majority-1], Newest: indexes[len(indexes)-1]}, nil
}

// Catalogue fetches the catalogue from the first replica that has one newer
// than index have. It returns a reply marked Unchanged when none has.
func (c *Client) Catalogue(ctx context.Context, knownIndex uint64) (CatalogueReply, error) {
	var lastErr error
	unchanged := false
	replicas := withoutUnknown(c.Replicas())
	start := int(c.idHash % uint64(max(1, len(replicas))))
	for _, addr := range rotated(replicas, start) {
		reply, err := callReplica[CatalogueReply](ctx, c.pool, addr, MethodCatalogue, CatalogueRequest{KnownIndex: knownIndex})
		if err != nil {
			lastErr = err
			continue
		}
		if !reply.Unchanged {
			return reply, nil
		}
		unchanged = true
	}
	if unchanged {
		return CatalogueReply{Unchanged: true, Index: knownIndex}, nil
	}
	return CatalogueReply{}, trace.Wrap(lastErr, "step=fetch catalogue")
}

// Ledger commits one command and returns its result. Commands are idempotent,
// so it repeats a command whose answer was lost, at another replica, until ctx
// ends. After an error the command may or may not have been committed.
func (c *Client) Ledger(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	var out ledger.Result
	err := c.Propose(ctx, KindLedger, &cmd, &out)
	return out, err
}

// Propose commits a proposal, msgpack-encoded from v, and decodes its result.
// It is repeated until ctx ends: v must be idempotent.
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

// Leases reports an entry's demand to the leader, wherever it is, and returns
// its leases. It asks each replica once.
func (c *Client) Leases(ctx context.Context, r admit.Report) (admit.Reply, error) {
	var lastErr error
	for _, addr := range c.callOrder() {
		reply, err := callReplica[admit.Reply](ctx, c.pool, addr, MethodLeases, r)
		if err == nil {
			c.preferReplica(addr)
			return reply, nil
		}
		lastErr = err
	}
	return admit.Reply{}, trace.Wrap(lastErr, "step=report demand")
}

// final reports whether no replica would answer otherwise.
func isPermanent(err error) bool {
	var remote *link.RemoteError
	return errors.As(err, &remote) && remote.Code == CodeInvalid
}

// Status asks every replica for its state; one that does not answer is shown
// with its error.
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

// order returns the replicas, the one that answered last first.
func (c *Client) callOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return withoutUnknown(rotated(c.replicas, c.preferred))
}

// known leaves out the addresses that are not known.
func withoutUnknown(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(addr string) bool { return addr == "" })
}

// rotated returns a copy of the list begun at from.
func rotated(addresses []string, start int) []string {
	return append(slices.Clone(addresses[start:]), addresses[:start]...)
}

func (c *Client) preferReplica(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = max(0, slices.Index(c.replicas, addr))
}
