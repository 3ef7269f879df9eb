// Package roster holds the link addresses of a group's replicas and sends the
// replicated log's messages to them.
package roster

import (
	"sync"

	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica"
)

// MaxReplicas bounds the replicas whose addresses a group's state contains: at most
// seven voters, and replicas that replace others.
const MaxReplicas = 16

// Member is a replica and its link address, which is empty if unknown.
type Member struct {
	ID      uint64 `msgpack:"id" json:"id"`
	Address string `msgpack:"addr" json:"address"`
}

// AddressBook holds the link addresses of the replicas, in this order of preference:
// from the replicated log, of the group's initial members, and of other replicas that
// sent a message. It is safe for concurrent use.
type AddressBook struct {
	founders map[uint64]string // initial members

	mu        sync.RWMutex
	committed map[uint64]string
	observed  map[uint64]string
}

// NewAddressBook returns an AddressBook with the addresses of the group's initial
// members.
func NewAddressBook(founders map[uint64]string) *AddressBook {
	return &AddressBook{founders: founders, observed: make(map[uint64]string)}
}

// Observe records the address of a replica that sent a message, unless it has one
// already; up to MaxReplicas are recorded. A restarted replica has not applied the
// end of its log yet. Without the observed address it could not reply to a replica
// that was added there, and if both are needed for a majority, no leader would ever
// be elected.
func (b *AddressBook) Observe(id uint64, addr string) {
	if _, known := b.Address(id); known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.observed) < MaxReplicas {
		b.observed[id] = addr
	}
}

// SetMembers replaces the addresses from the replicated log.
func (b *AddressBook) SetMembers(list []Member) {
	addresses := make(map[uint64]string, len(list))
	for _, r := range list {
		addresses[r.ID] = r.Address
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.committed = addresses
}

// Address returns the link address of a replica, and false if the replica is unknown.
func (b *AddressBook) Address(id uint64) (string, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if addr, known := b.committed[id]; known {
		return addr, true
	}
	if addr, known := b.founders[id]; known {
		return addr, true
	}
	addr, known := b.observed[id]
	return addr, known
}

// Members returns the replicas with their addresses.
func (b *AddressBook) Members(ids []uint64) []Member {
	out := make([]Member, 0, len(ids))
	for _, id := range ids {
		addr, _ := b.Address(id) // empty if unknown
		out = append(out, Member{ID: id, Address: addr})
	}
	return out
}

// Transport sends the replicated log's messages over links. A message is lost if the
// queue is full or the link fails; the replicated log sends it again.
type Transport struct {
	Pool   *link.Pool
	Method string
	Peers  *AddressBook
}

// Send implements host.Transport.
func (t *Transport) Send(m replica.Message) {
	if addr, known := t.Peers.Address(m.To); known {
		_ = link.Notify(t.Pool, addr, t.Method, m) // the replicated log sends lost messages again
	}
}
