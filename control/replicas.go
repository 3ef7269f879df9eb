package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/settings"
)

// replicaTable is the part of the replicated state that contains the addresses of the
// replicas that were added to the initial ones.
type replicaTable struct {
	Replicas []api.ReplicaAddress `msgpack:"list"` // sorted by id
	// HighestID is the highest id that was ever added or removed. No id is used
	// twice: a replica that lost its disk has lost its votes and the entries that it
	// acknowledged, and under its old id the others would still count both.
	HighestID uint64 `msgpack:"highest"`
}

func (t *replicaTable) apply(c api.ReplicaCommand) api.ReplicaResult {
	pos, found := slices.BinarySearchFunc(t.Replicas, c.ID, func(r api.ReplicaAddress, id uint64) int { return cmp.Compare(r.ID, id) })
	switch {
	case c.Address == "":
		t.HighestID = max(t.HighestID, c.ID)
		if found {
			t.Replicas = slices.Delete(slices.Clone(t.Replicas), pos, pos+1)
		}
	case found && t.Replicas[pos].Address == c.Address:
	case c.ID <= t.HighestID:
		return api.ReplicaResult{Refused: fmt.Sprintf("id %d is not above %d: an id is never used twice", c.ID, t.HighestID)}
	case len(t.Replicas) >= api.MaxReplicas:
		return api.ReplicaResult{Refused: fmt.Sprintf("%d replicas are known: remove one first", len(t.Replicas))}
	default:
		t.HighestID = c.ID
		t.Replicas = slices.Insert(slices.Clone(t.Replicas), pos, api.ReplicaAddress(c))
	}
	return api.ReplicaResult{}
}

// version returns the indexes of this replica's newest catalogue change and quarantine
// records, and the hash of its current voters.
func (s *service) version(context.Context, link.PeerInfo, api.VersionRequest) (api.VersionReply, error) {
	members := s.peers.Members(s.log.Voters().IDs)
	return api.VersionReply{
		Replica: s.replicaID(), Set: api.VotersHash(api.Addresses(members)),
		Index:      s.log.LastIndexOf(uint8(api.KindCatalogue)),
		Quarantine: s.log.LastIndexOf(uint8(api.KindQuarantine)),
	}, nil
}

// voters returns this replica's current voters.
func (s *service) voters(context.Context, link.PeerInfo, api.VotersRequest) (api.VotersReply, error) {
	v := s.log.Voters()
	return api.VotersReply{Term: v.Term, VotersIndex: v.Index, Voters: s.peers.Members(v.IDs)}, nil
}

// validateChange returns an error if a change is invalid regardless of the state.
func validateChange(r api.ReplicaChange) error {
	switch {
	case r.ID == 0:
		return invalidf("id 0 stands for no replica")
	case r.Action == api.ReplicaAdd:
		if err := settings.HostPort(r.Address); err != nil {
			return invalidf("address: %v", err)
		}
		return nil
	case r.Action == api.ReplicaPromote || r.Action == api.ReplicaRemove:
		return nil
	default:
		return invalidf("action %q is not add, promote or remove", r.Action)
	}
}

func invalidf(format string, args ...any) error {
	return &codedError{code: api.CodeInvalid, err: trace.BadParameter(format, args...)}
}

// changeReplicas makes one change of the replica set, or forwards it to the leader.
func (s *service) changeReplicas(ctx context.Context, _ link.PeerInfo, r api.ReplicaChange) (api.ReplicaStatus, error) {
	if err := validateChange(r); err != nil {
		return api.ReplicaStatus{}, err
	}
	st := s.log.Status()
	if st.Role != replica.Leader {
		return s.forwardChange(ctx, r, st.Leader)
	}
	if err := s.changeAsLeader(ctx, st, r); err != nil {
		return api.ReplicaStatus{}, codedChangeError(err)
	}
	return s.replicaStatus(), nil
}

func (s *service) forwardChange(ctx context.Context, r api.ReplicaChange, leader uint64) (api.ReplicaStatus, error) {
	addr, known := s.peers.Address(leader)
	if r.Forwarded || !known {
		return api.ReplicaStatus{}, errNoLeader
	}
	r.Forwarded = true
	reply, err := link.Call[api.ReplicaStatus](ctx, s.pool, addr, api.MethodChange, r)
	return reply, trace.Wrap(err, "step=forward peer=%s", addr)
}

// codedChangeError adds the code by which changeProblem decides whether to retry.
func codedChangeError(err error) error {
	var coded *codedError
	code := api.CodeNoLeader
	switch {
	case errors.As(err, &coded):
		return err
	case errors.Is(err, replica.ErrNotCaughtUp):
		code = api.CodeNotCaughtUp
	case errors.Is(err, replica.ErrBadChange):
		code = api.CodeInvalid
	case errors.Is(err, host.ErrOutcomeUnknown):
		code = api.CodeOutcomeUnknown
	case errors.Is(err, host.ErrBusy) || errors.Is(err, replica.ErrChangePending):
		code = api.CodeBusy
	}
	return &codedError{code: code, err: err}
}

func (s *service) changeAsLeader(ctx context.Context, st host.Status, r api.ReplicaChange) error {
	isVoter, isLearner := slices.Contains(st.Voters, r.ID), slices.Contains(st.Learners, r.ID)
	switch r.Action {
	case api.ReplicaAdd:
		return s.addReplica(ctx, st, r, isVoter || isLearner)
	case api.ReplicaPromote:
		if isVoter {
			return nil
		}
		return s.log.ChangeMembers(ctx, replica.Change{Kind: replica.Promote, ID: r.ID})
	default:
		return s.removeReplica(ctx, st, r.ID, isVoter || isLearner)
	}
}

// addReplica commits the address before it adds the learner. If the leader stops
// between the two steps, an unused address remains; in the other order, a replica
// would remain that no later leader can reach.
func (s *service) addReplica(ctx context.Context, st host.Status, r api.ReplicaChange, isMember bool) error {
	if isMember {
		if addr, _ := s.peers.Address(r.ID); addr != r.Address {
			return invalidf("replica %d is a member under address %q", r.ID, addr)
		}
		return nil
	}
	if highest := slices.Max(slices.Concat(st.Voters, st.Learners)); r.ID < highest {
		return invalidf("id %d is not above %d: an id is never used twice", r.ID, highest)
	}
	if err := s.commitReplicaCommand(ctx, api.ReplicaCommand{ID: r.ID, Address: r.Address}); err != nil {
		return err
	}
	return s.log.ChangeMembers(ctx, replica.Change{Kind: replica.AddLearner, ID: r.ID})
}

// removeReplica removes another replica. To remove this one, it transfers the
// leadership and returns errNoLeader, so that the change is retried at the new leader.
func (s *service) removeReplica(ctx context.Context, st host.Status, id uint64, isMember bool) error {
	if id == st.ID {
		return s.stepDown(ctx, st)
	}
	if isMember {
		if err := s.checkMajority(ctx, st, id); err != nil {
			return err
		}
		if err := s.log.ChangeMembers(ctx, replica.Change{Kind: replica.Remove, ID: id}); err != nil {
			return err
		}
	}
	return s.commitReplicaCommand(ctx, api.ReplicaCommand{ID: id})
}

func (s *service) stepDown(ctx context.Context, st host.Status) error {
	for _, id := range st.Voters {
		if id == st.ID {
			continue
		}
		err := s.log.TransferLeadership(ctx, id)
		var notLeader *host.NotLeaderError
		if err == nil || errors.As(err, &notLeader) {
			return errNoLeader
		}
	}
	return invalidf("replica %d leads, and no other voter can take over", st.ID)
}

// checkMajority refuses the removal of a voter if fewer than a majority of the
// remaining ones reply. The new set is in force as soon as it is in the leader's log:
// without a majority of it, neither this change nor any later one would be committed.
func (s *service) checkMajority(ctx context.Context, st host.Status, id uint64) error {
	if !slices.Contains(st.Voters, id) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, voterCheckTimeout)
	defer cancel()
	var wg sync.WaitGroup
	replied := make([]bool, len(st.Voters))
	for i, voter := range st.Voters {
		addr, known := s.peers.Address(voter)
		switch {
		case voter == id || !known:
		case voter == st.ID:
			replied[i] = true
		default:
			wg.Go(func() {
				_, err := link.Call[api.ReplicaStatus](ctx, s.pool, addr, api.MethodStatus, api.StatusRequest{})
				replied[i] = err == nil
			})
		}
	}
	wg.Wait()
	reachable := 0
	for _, ok := range replied {
		if ok {
			reachable++
		}
	}
	if remaining := len(st.Voters) - 1; reachable < remaining/2+1 {
		return invalidf("only %d of the %d voters left would answer: add and promote a replica first", reachable, remaining)
	}
	return nil
}

// voterCheckTimeout bounds the calls by which checkMajority finds the reachable voters.
const voterCheckTimeout = time.Second

func (s *service) commitReplicaCommand(ctx context.Context, c api.ReplicaCommand) error {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return trace.Wrap(err, "step=encode replica command")
	}
	result, err := s.log.Propose(ctx, uint8(api.KindReplica), data)
	if err != nil {
		return err
	}
	if r, ok := result.(api.ReplicaResult); ok && r.Refused != "" {
		return invalidf("%s", r.Refused)
	}
	return nil
}

// Replicas returns the addresses of the replicas that were added to the initial ones.
func (m *Machine) Replicas() []api.ReplicaAddress {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.replicas.Replicas
}

func (m *Machine) applyReplica(e replica.Entry) (any, error) {
	var c api.ReplicaCommand
	if err := msgpack.Unmarshal(e.Data, &c); err != nil {
		return nil, trace.Wrap(err, "step=apply replica command")
	}
	m.mu.Lock()
	result := m.replicas.apply(c)
	m.mu.Unlock()
	m.onReplicas(m.Replicas())
	return result, nil
}
