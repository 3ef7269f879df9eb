// Package control implements a control replica. It stores the catalogue, the planned
// stops and the ledger in the replicated log and serves operators and entries. While
// it leads, it also grants the entries' shares of the workspaces' limits and, if a
// cloud is configured, manages the fleet of backend servers.
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

// Machine is the replicated state machine of a control replica. Apply and Restore are
// called by one goroutine; the other methods may be called from any.
type Machine struct {
	mu                 sync.RWMutex
	catalogueState     *contract.State
	ledger             *ledger.Ledger
	catalogueIndex     uint64 // log index of the last catalogue entry applied
	firstCatalogueTerm uint64 // term of the first catalogue entry; 0 if there is none
	replicas           replicaTable
	fleet              fleet.State
	quarantine         quarantineTable

	onCatalogue func(api.CatalogueReply)
	onReplicas  func([]api.ReplicaAddress)
}

// NewMachine returns a Machine with the empty state. onCatalogue is called with the
// catalogue after each accepted change, onReplicas with the addresses of the added
// replicas after each replica command, and both after Restore. They are called
// without a lock held; either may be nil.
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

// Apply applies one committed entry. It returns a contract.Result, ledger.Result,
// api.ReplicaResult, fleet.Result or struct{}, by the entry's kind. An entry that cannot be
// decoded is an error on every replica alike and changes nothing but, for a
// catalogue entry, the catalogue's index.
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
	case api.KindQuarantine:
		return m.applyQuarantine(e)
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

// advanceCatalogueIndex sets the catalogue's index to that of a log entry that cannot
// be decoded. An entry process considers its catalogue current only once it has
// reached the index of the newest catalogue entry in the log.
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

// Catalogue returns the catalogue and stops as applied here, or a reply marked
// Unchanged if knownIndex is not 0 and they have no higher index.
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

// FirstCatalogueTerm returns the term of the first catalogue entry, or 0 if there is
// none. No leader of an earlier term knew any workspace.
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

	Replicas   replicaTable       `msgpack:"replicas"`
	Fleet      fleet.State        `msgpack:"fleet"`
	Quarantine quarantineSnapshot `msgpack:"quarantine"`
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
	enc, err := msgpack.Marshal(&machineSnapshot{
		CatalogueState: catalogueState, Ledger: records, CatalogueIndex: m.catalogueIndex, FirstCatalogueTerm: m.firstCatalogueTerm,
		Replicas: m.replicas, Fleet: m.fleet, Quarantine: m.quarantine.snapshot(),
	})
	return enc, trace.Wrap(err, "step=snapshot")
}

// Restore replaces the whole state with that of a snapshot. On an error it changes
// nothing.
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
	m.replicas, m.fleet, m.quarantine = s.Replicas, s.Fleet, s.Quarantine.restore()
	m.mu.Unlock()
	m.onCatalogue(m.Catalogue(0))
	m.onReplicas(m.Replicas())
	return nil
}
