// Package control is a control replica: it keeps the catalogue, the planned
// stops and the ledger in the replicated log, answers operators and entries,
// and, while it leads, gives orders to backend servers.
package control

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/replica"
)

// Machine is the replicated state: what the log's entries build up. Apply is
// called by one goroutine; the readers may be called from any.
type Machine struct {
	mu                 sync.RWMutex
	catalogueState     *contract.State
	ledger             *ledger.Ledger
	catalogueIndex     uint64 // log index of the last catalogue entry applied
	firstCatalogueTerm uint64 // term of the first catalogue entry; 0: there is none
	replicas           replicaTable
	fleet              fleet.State

	onCatalogue func(api.CatalogueReply)
	onReplicas  func([]api.ReplicaAddress)
}

// NewMachine returns the empty state. onCatalogue is told of each accepted
// change and onReplicas of the replicas' addresses, outside any lock; either may
// be nil.
func NewMachine(onCatalogue func(api.CatalogueReply), onReplicas func([]api.ReplicaAddress)) *Machine {
	if onCatalogue == nil {
		onCatalogue = func(api.CatalogueReply) {}
	}
	if onReplicas == nil {
		onReplicas = func([]api.ReplicaAddress) {}
	}
	return &Machine{
		catalogueState: contract.NewState(), ledger: ledger.New(ledger.MaxRecords),
		onCatalogue: onCatalogue, onReplicas: onReplicas,
	}
}

// Apply takes one committed entry and returns a contract.Result or a
// ledger.Result. An entry that cannot be decoded is an error here and on every
// other replica alike, and changes nothing.
func (m *Machine) Apply(e replica.Entry) (any, error) {
	switch api.ProposalKind(e.Kind) {
	case api.KindCatalogue:
		return m.applyCatalogueChange(e)
	case api.KindLedger:
		return m.applyLedger(e)
	case api.KindReplica:
		return m.applyReplica(e)
	case api.KindFleet:
		return m.applyFleet(e)
	default:
		return nil, trace.BadParameter("log entry %d has unknown kind %d", e.Index, e.Kind)
	}
}

func (m *Machine) applyCatalogueChange(e replica.Entry) (any, error) {
	var c contract.Change
	if err := msgpack.Unmarshal(e.Data, &c); err != nil {
		m.advanceCatalogueIndex(e.Index)
		return nil, trace.Wrap(err, "step=apply change")
	}
	m.mu.Lock()
	result := m.catalogueState.Apply(c)
	m.catalogueIndex = e.Index
	if m.firstCatalogueTerm == 0 {
		m.firstCatalogueTerm = e.Term
	}
	m.mu.Unlock()
	if result.Code == contract.CodeAccepted {
		m.onCatalogue(m.Catalogue(0))
	}
	return result, nil
}

// passCatalogueEntry counts an entry that changed nothing: entries wait until
// their catalogue has reached the index of the newest catalogue entry.
func (m *Machine) advanceCatalogueIndex(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.catalogueIndex = index
}

func (m *Machine) applyLedger(e replica.Entry) (any, error) {
	var c ledger.Command
	if err := msgpack.Unmarshal(e.Data, &c); err != nil {
		return nil, trace.Wrap(err, "step=apply ledger command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Apply(c), nil
}

// Catalogue returns what is in force here, or Unchanged if its index is have.
func (m *Machine) Catalogue(knownIndex uint64) api.CatalogueReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.catalogueIndex <= knownIndex && knownIndex > 0 {
		return api.CatalogueReply{Unchanged: true, Index: m.catalogueIndex}
	}
	return api.CatalogueReply{
		Index: m.catalogueIndex, Version: m.catalogueState.Version(),
		Catalogue: m.catalogueState.Catalogue(), Stops: m.catalogueState.Stops(),
	}
}

// History returns the newest n accepted changes, newest first.
func (m *Machine) History(n int) []contract.Entry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.catalogueState.History(n)
}

// FirstTerm is the term in which the first catalogue change was committed, 0
// before that. No leader of an earlier term knew any workspace.
func (m *Machine) FirstCatalogueTerm() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.firstCatalogueTerm
}

// Counts returns the catalogue's version and the number of ledger records.
func (m *Machine) Counts() (version uint64, records int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.catalogueState.Version(), m.ledger.Len()
}

type machineSnapshot struct {
	CatalogueState     []byte `msgpack:"book"`
	Ledger             []byte `msgpack:"ledger"`
	CatalogueIndex     uint64 `msgpack:"index"`
	FirstCatalogueTerm uint64 `msgpack:"first"`

	Replicas replicaTable `msgpack:"replicas"`
	Fleet    fleet.State  `msgpack:"fleet"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	catalogueState, err := m.catalogueState.Snapshot()
	if err != nil {
		return nil, err
	}
	records, err := m.ledger.Snapshot()
	if err != nil {
		return nil, err
	}
	enc, err := msgpack.Marshal(&machineSnapshot{CatalogueState: catalogueState, Ledger: records, CatalogueIndex: m.catalogueIndex, FirstCatalogueTerm: m.firstCatalogueTerm, Replicas: m.replicas, Fleet: m.fleet})
	return enc, trace.Wrap(err, "step=snapshot")
}

// Restore replaces the whole state by what Snapshot wrote.
func (m *Machine) Restore(enc []byte) error {
	var s machineSnapshot
	if err := msgpack.Unmarshal(enc, &s); err != nil {
		return trace.Wrap(err, "step=restore")
	}
	catalogueState, err := contract.RestoreState(s.CatalogueState)
	if err != nil {
		return err
	}
	records, err := ledger.Restore(s.Ledger, ledger.MaxRecords)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.catalogueState, m.ledger, m.catalogueIndex, m.firstCatalogueTerm = catalogueState, records, s.CatalogueIndex, s.FirstCatalogueTerm
	m.replicas, m.fleet = s.Replicas, s.Fleet
	m.mu.Unlock()
	m.onCatalogue(m.Catalogue(0))
	m.onReplicas(m.Replicas())
	return nil
}
