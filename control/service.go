package control

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/document"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/host"
	"savoryreel.example/savoryreel/replica/roster"
)

// Log is the replicated log as the control replica uses it; host.Host implements it.
type Log interface {
	Propose(ctx context.Context, kind uint8, data []byte) (any, error)
	ReadBarrier(ctx context.Context) error
	ChangeMembers(ctx context.Context, ch replica.Change) error
	TransferLeadership(ctx context.Context, to uint64) error
	LastIndexOf(kind uint8) uint64
	Status() host.Status
	Voters() host.Voters
	Step(m replica.Message)
}

// codedError is an error with a code, which the link transmits to the caller.
type codedError struct {
	code string
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Code() string  { return e.code }
func (e *codedError) Unwrap() error { return e.err }

// service handles the link calls of entries and other replicas.
type service struct {
	log     Log
	machine *Machine
	pool    *link.Pool
	peers   *roster.AddressBook
	now     func() time.Time

	documentsMu sync.Mutex
	documents   *document.Store // encoded CatalogueReplies, by their index
	storedIndex uint64          // of the newest one
}

func (s *service) register(srv *link.Server) {
	link.Handle(srv, api.MethodVersion, s.version)
	link.Handle(srv, api.MethodVoters, s.voters)
	link.Handle(srv, api.MethodCatalogue, s.catalogue)
	link.Handle(srv, api.MethodPropose, s.propose)
	link.Handle(srv, api.MethodStatus, s.status)
	link.Handle(srv, api.MethodChange, s.changeReplicas)
	link.Handle(srv, api.MethodBarrier, s.leaderBarrier)
	link.Handle(srv, api.MethodQuarantine, s.quarantine)
	link.HandleNotice(srv, api.MethodReplica, func(_ context.Context, from link.PeerInfo, m replica.Message) {
		s.peers.Observe(m.From, from.Address)
		s.log.Step(m)
	})
}

// catalogue returns a part of the newest catalogue.
func (s *service) catalogue(_ context.Context, _ link.PeerInfo, r document.Request) (document.Part, error) {
	if err := s.storeCatalogue(); err != nil {
		return document.Part{}, err
	}
	return s.documents.Part(&r), nil
}

// storeCatalogue adds the catalogue to the documents if it has changed.
func (s *service) storeCatalogue() error {
	s.documentsMu.Lock()
	defer s.documentsMu.Unlock()
	reply := s.machine.Catalogue(s.storedIndex)
	if reply.Unchanged || reply.Index == 0 {
		return nil
	}
	encoded, err := api.EncodeCatalogue(&reply)
	if err != nil {
		return err
	}
	s.documents.Put(reply.Index, encoded)
	s.storedIndex = reply.Index
	return nil
}

func (s *service) status(context.Context, link.PeerInfo, api.StatusRequest) (api.ReplicaStatus, error) {
	return s.replicaStatus(), nil
}

func (s *service) replicaID() string { return strconv.FormatUint(s.log.Status().ID, 10) }

func (s *service) replicaStatus() api.ReplicaStatus {
	st := s.log.Status()
	version, records := s.machine.Counts()
	return api.ReplicaStatus{
		ID: strconv.FormatUint(st.ID, 10), Role: st.Role.String(), Term: st.Term,
		Leader:    strconv.FormatUint(st.Leader, 10),
		LastIndex: st.Last, CommitIndex: st.Commit, AppliedIndex: st.Applied,
		CatalogueVersion: version, LedgerRecords: records, Voters: st.Voters, Learners: st.Learners,
	}
}

// propose commits a proposal, or forwards it to the leader, and returns its result.
func (s *service) propose(ctx context.Context, _ link.PeerInfo, r api.ProposeRequest) (api.ProposeReply, error) {
	data, err := s.validateAndStamp(r)
	if err != nil {
		return api.ProposeReply{}, &codedError{code: api.CodeInvalid, err: err}
	}
	result, err := s.log.Propose(ctx, uint8(r.Kind), data)
	var notLeader *host.NotLeaderError
	if errors.As(err, &notLeader) {
		return s.forwardProposal(ctx, r, notLeader.Leader)
	}
	if err != nil {
		return api.ProposeReply{}, &codedError{code: proposalErrorCode(err), err: err}
	}
	enc, err := msgpack.Marshal(result)
	if err != nil {
		return api.ProposeReply{}, trace.Wrap(err, "step=encode result")
	}
	return api.ProposeReply{Result: enc}, nil
}

func proposalErrorCode(err error) string {
	switch {
	case errors.Is(err, host.ErrBusy):
		return api.CodeBusy
	case errors.Is(err, host.ErrOutcomeUnknown):
		return api.CodeOutcomeUnknown
	default:
		return api.CodeNoLeader
	}
}

var errNoLeader = &codedError{code: api.CodeNoLeader, err: trace.ConnectionProblem(nil, "no leader is known")}

// forwardProposal forwards a proposal to the leader unless it was forwarded already.
func (s *service) forwardProposal(ctx context.Context, r api.ProposeRequest, leader uint64) (api.ProposeReply, error) {
	addr, known := s.peers.Address(leader)
	if r.Forwarded || !known {
		return api.ProposeReply{}, errNoLeader
	}
	r.Forwarded = true
	reply, err := link.Call[api.ProposeReply](ctx, s.pool, addr, api.MethodPropose, r)
	return reply, trace.Wrap(err, "step=forward peer=%s", addr)
}

// validateAndStamp decodes a proposal, so that nothing malformed enters the log, and
// returns it encoded with this replica's time: the clocks of entries may differ.
func (s *service) validateAndStamp(r api.ProposeRequest) ([]byte, error) {
	switch r.Kind {
	case api.KindCatalogue:
		var c contract.Change
		if err := link.Unmarshal(r.Data, &c); err != nil {
			return nil, trace.Wrap(err, "step=decode change")
		}
		c.At = s.now().UTC()
		return msgpack.Marshal(&c)
	case api.KindLedger:
		var c ledger.Command
		if err := link.Unmarshal(r.Data, &c); err != nil {
			return nil, trace.Wrap(err, "step=decode ledger command")
		}
		c.Now = s.now().UnixMilli()
		return msgpack.Marshal(&c)
	case api.KindQuarantine:
		var c api.QuarantineCommand
		if err := link.Unmarshal(r.Data, &c); err != nil {
			return nil, trace.Wrap(err, "step=decode quarantine records")
		}
		if len(c.Records) > api.MaxQuarantineRecords {
			return nil, trace.LimitExceeded("%d quarantine records in a command, %d allowed", len(c.Records), api.MaxQuarantineRecords)
		}
		c.Now = s.now().UnixMilli()
		return msgpack.Marshal(&c)
	default:
		return nil, trace.BadParameter("unknown kind of proposal %d", r.Kind)
	}
}

// leaderBarrier returns the index for a follower's readBarrier. A replica that does
// not lead returns an error: its log may lack accepted changes.
func (s *service) leaderBarrier(ctx context.Context, _ link.PeerInfo, _ api.BarrierRequest) (api.BarrierReply, error) {
	if err := s.log.ReadBarrier(ctx); err != nil {
		return api.BarrierReply{}, &codedError{code: api.CodeNoLeader, err: err}
	}
	return api.BarrierReply{Index: s.log.Status().Applied}, nil
}

// applyPollInterval is how often readBarrier checks the applied index.
const applyPollInterval = 5 * time.Millisecond

// readBarrier returns once this replica, leader or follower, has applied every change
// that was accepted before the call.
func (s *service) readBarrier(ctx context.Context) error {
	err := s.log.ReadBarrier(ctx)
	var notLeader *host.NotLeaderError
	if !errors.As(err, &notLeader) {
		return err
	}
	addr, known := s.peers.Address(notLeader.Leader)
	if !known {
		return err
	}
	reply, err := link.Call[api.BarrierReply](ctx, s.pool, addr, api.MethodBarrier, api.BarrierRequest{})
	if err != nil {
		return trace.Wrap(err, "step=read barrier peer=%s", addr)
	}
	tick := time.NewTicker(applyPollInterval)
	defer tick.Stop()
	for s.log.Status().Applied < reply.Index {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "step=catch up")
		case <-tick.C:
		}
	}
	return nil
}
