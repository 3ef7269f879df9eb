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

// replicaTable is the part of the replicated state that knows the replicas which
// were added after the group was founded.
type replicaTable struct {
	Replicas []api.ReplicaAddress `msgpack:"list"` // by id
	// Highest is the highest id that was ever added or removed here. A replica that
	// lost its disk has forgotten which entries it acknowledged and whom it voted
	// for; under its old id others would count on both. So no id is used twice.
	Highest uint64 `msgpack:"highest"`
}

func (t *replicaTable) apply(c api.ReplicaCommand) api.ReplicaResult {
	at, known := slices.BinarySearchFunc(t.Replicas, c.ID, func(r api.ReplicaAddress, id uint64) int { return cmp.Compare(r.ID, id) })
	switch {
	case c.Address == "":
		t.Highest = max(t.Highest, c.ID)
		if known {
			t.Replicas = slices.Delete(slices.Clone(t.Replicas), at, at+1)
		}
	case known && t.Replicas[at].Address == c.Address:
	case c.ID <= t.Highest:
		return api.ReplicaResult{Refused: fmt.Sprintf("id %d is not above %d: an id is never used twice", c.ID, t.Highest)}
	case len(t.Replicas) >= api.MaxReplicas:
		return api.ReplicaResult{Refused: fmt.Sprintf("%d replicas are known: remove one first", len(t.Replicas))}
	default:
		t.Highest = c.ID
		t.Replicas = slices.Insert(slices.Clone(t.Replicas), at, api.ReplicaAddress(c))
	}
	return api.ReplicaResult{}
}

// version says how far this replica's log goes and which voters it has in force.
func (s *service) version(context.Context, link.PeerInfo, api.VersionRequest) (api.VersionReply, error) {
	index := s.log.LastIndexOf(uint8(api.KindCatalogue))
	members := s.peers.Members(s.log.Voters().IDs)
	return api.VersionReply{Replica: s.self(), Index: index, Set: api.SetOf(api.AddressesOf(members))}, nil
}

// voters names the voters that this replica has in force.
func (s *service) voters(context.Context, link.PeerInfo, api.VotersRequest) (api.VotersReply, error) {
	v := s.log.Voters()
	return api.VotersReply{Term: v.Term, Members: v.Index, Voters: s.peers.Members(v.IDs)}, nil
}

// checkChange refuses what makes no sense, whatever the state.
func checkChange(r api.ReplicaChange) error {
	switch {
	case r.ID == 0:
		return invalid("id 0 stands for no replica")
	case r.Action == api.ReplicaAdd:
		if err := settings.HostPort(r.Address); err != nil {
			return invalid("address: %v", err)
		}
		return nil
	case r.Action == api.ReplicaPromote || r.Action == api.ReplicaRemove:
		return nil
	default:
		return invalid("action %q is not add, promote or remove", r.Action)
	}
}

func invalid(format string, args ...any) error {
	return &codedError{code: api.CodeInvalid, err: trace.BadParameter(format, args...)}
}

// change makes one change of the replica set here, or at the leader.
func (s *service) change(ctx context.Context, _ link.PeerInfo, r api.ReplicaChange) (api.ReplicaStatus, error) {
	if err := checkChange(r); err != nil {
		return api.ReplicaStatus{}, err
	}
	st := s.log.Status()
	if st.Role != replica.Leader {
		return s.forwardChange(ctx, r, st.Leader)
	}
	if err := s.changeHere(ctx, st, r); err != nil {
		return api.ReplicaStatus{}, changeError(err)
	}
	return s.describe(), nil
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

// changeError gives an error the code by which an operator's call goes on.
func changeError(err error) error {
	var coded *codedError
	code := api.CodeNoLeader
	switch {
	case errors.As(err, &coded):
		return err
	case errors.Is(err, replica.ErrNotCaughtUp):
		code = api.CodeBehind
	case errors.Is(err, replica.ErrBadChange):
		code = api.CodeInvalid
	case errors.Is(err, host.ErrOutcomeUnknown):
		code = api.CodeUnknown
	case errors.Is(err, host.ErrBusy) || errors.Is(err, replica.ErrChangePending):
		code = api.CodeBusy
	}
	return &codedError{code: code, err: err}
}

func (s *service) changeHere(ctx context.Context, st host.Status, r api.ReplicaChange) error {
	voter, learner := slices.Contains(st.Voters, r.ID), slices.Contains(st.Learners, r.ID)
	switch r.Action {
	case api.ReplicaAdd:
		return s.addReplica(ctx, st, r, voter || learner)
	case api.ReplicaPromote:
		if voter {
			return nil
		}
		return s.log.ChangeMembers(ctx, replica.Change{Kind: replica.Promote, ID: r.ID})
	default:
		return s.removeReplica(ctx, st, r.ID, voter || learner)
	}
}

// addReplica commits the address first. A leader that died between the two
// steps leaves an address that nobody uses; the other way round it would leave a
// replica that no later leader can reach.
func (s *service) addReplica(ctx context.Context, st host.Status, r api.ReplicaChange, member bool) error {
	if member {
		if addr, _ := s.peers.Address(r.ID); addr != r.Address {
			return invalid("replica %d is a member under address %q", r.ID, addr)
		}
		return nil
	}
	if highest := slices.Max(slices.Concat(st.Voters, st.Learners)); r.ID < highest {
		return invalid("id %d is not above %d: an id is never used twice", r.ID, highest)
	}
	if err := s.noteReplica(ctx, api.ReplicaCommand{ID: r.ID, Address: r.Address}); err != nil {
		return err
	}
	return s.log.ChangeMembers(ctx, replica.Change{Kind: replica.AddLearner, ID: r.ID})
}

// removeReplica hands the leadership over first if this replica is to go; the
// operator's call is then made again at the new leader.
func (s *service) removeReplica(ctx context.Context, st host.Status, id uint64, member bool) error {
	if id == st.ID {
		return s.stepDown(ctx, st)
	}
	if member {
		if err := s.checkMajority(ctx, st, id); err != nil {
			return err
		}
		if err := s.log.ChangeMembers(ctx, replica.Change{Kind: replica.Remove, ID: id}); err != nil {
			return err
		}
	}
	return s.noteReplica(ctx, api.ReplicaCommand{ID: id})
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
	return invalid("replica %d leads, and no other voter can take over", st.ID)
}

// checkMajority refuses a removal after which too few of the voters answer. The
// new set is in force as soon as it is in the leader's log: without a majority of
// it, it would never be committed, and nothing after it either.
func (s *service) checkMajority(ctx context.Context, st host.Status, id uint64) error {
	if !slices.Contains(st.Voters, id) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answered := make([]bool, len(st.Voters))
	for i, voter := range st.Voters {
		addr, known := s.peers.Address(voter)
		switch {
		case voter == id || !known:
		case voter == st.ID:
			answered[i] = true
		default:
			wg.Go(func() {
				_, err := link.Call[api.ReplicaStatus](ctx, s.pool, addr, api.MethodStatus, api.StatusRequest{})
				answered[i] = err == nil
			})
		}
	}
	wg.Wait()
	alive := 0
	for _, ok := range answered {
		if ok {
			alive++
		}
	}
	if left := len(st.Voters) - 1; alive < left/2+1 {
		return invalid("only %d of the %d voters left would answer: add and promote a replica first", alive, left)
	}
	return nil
}

// aliveTimeout bounds the question which voters answer.
const aliveTimeout = time.Second

func (s *service) noteReplica(ctx context.Context, c api.ReplicaCommand) error {
	data, err := msgpack.Marshal(&c)
	if err != nil {
		return trace.Wrap(err, "step=encode replica command")
	}
	result, err := s.log.Propose(ctx, uint8(api.KindReplica), data)
	if err != nil {
		return err
	}
	if r, ok := result.(api.ReplicaResult); ok && r.Refused != "" {
		return invalid("%s", r.Refused)
	}
	return nil
}

// Replicas returns the addresses of the replicas added since the founding.
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
