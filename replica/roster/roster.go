// Package roster knows where the replicas of a group take links, and sends the
// replicated log's messages there.
package roster

import (
	"sync"

	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/replica"
)

// MaxReplicas bounds the replicas whose addresses a group's state holds. A group
// has at most seven voters; the rest is room for those that replace others.
const MaxReplicas = 16

// Member is where a replica takes links. Address is empty where it is not known.
type Member struct {
	ID      uint64 `msgpack:"id" json:"id"`
	Address string `msgpack:"addr" json:"address"`
}

// AddressBook knows the link addresses of the replicas: those learnt from the log,
// those that founded the group, and those of replicas that sent a message. It is
// safe for concurrent use.
type AddressBook struct {
	founders map[uint64]string

	mu        sync.RWMutex
	committed map[uint64]string
	observed  map[uint64]string
}

// NewAddressBook returns a book that knows the founders.
func NewAddressBook(founders map[uint64]string) *AddressBook {
	return &AddressBook{founders: founders, observed: make(map[uint64]string)}
}

// Observe notes the address of a replica that sent a message. A replica that
// restarts has not applied the end of its log yet. Without this it could not
// answer one that was added there, and if both are needed for a majority, no
// leader would ever be elected.
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

// SetMembers replaces what came from the log.
func (b *AddressBook) SetMembers(list []Member) {
	addresses := make(map[uint64]string, len(list))
	for _, r := range list {
		addresses[r.ID] = r.Address
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.committed = addresses
}

// Address returns the link address of a replica.
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

// Members lists replicas with their addresses.
func (b *AddressBook) Members(ids []uint64) []Member {
	out := make([]Member, 0, len(ids))
	for _, id := range ids {
		addr, _ := b.Address(id) // empty where it is not known yet
		out = append(out, Member{ID: id, Address: addr})
	}
	return out
}

// Transport sends the replicated log's messages over links. Messages that a full
// queue or a dead link loses are sent again by the log itself.
type Transport struct {
	Pool   *link.Pool
	Method string
	Peers  *AddressBook
}

// Send implements host.Transport.
func (t *Transport) Send(m replica.Message) {
	if addr, known := t.Peers.Address(m.To); known {
		_ = link.Notify(t.Pool, addr, t.Method, m) // lost messages are sent again
	}
}
