package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/limit"
)

// limitTries is how often the keeper of a pool is asked before it counts as silent. A
// datagram may be lost, or its reader be busy for a moment.
const maxLimitAttempts = 3

// limitGroups is in how many groups the workspaces' limits are kept together. With one keeper
// for each pool, entries would be asked for their shares by ever more keepers.
const limitGroups = 16

// limitKey names the group of a workspace's limit, apart from any server. The pools of a group
// go to the entries that come first, one each, so that the loss of one leaves the others.
func limitGroupName(key limit.Key) string {
	return "limits/" + strconv.FormatUint(xxhash.Sum64String(key.Workspace)%limitGroups, 10)
}

// ownerOf returns the entry that should keep a pool, by the list that is held here; empty
// where there is none.
func (x *peerExchange) poolOwner(key limit.Key) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshOwners(x.now())
	return x.owners.OwnerAt(limitGroupName(key), key.Number)
}

// peers returns the names of the other entries that can be reached, in order.
func (x *peerExchange) peerNames() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshOwners(x.now())
	return slices.Sorted(maps.Keys(x.addresses))
}

// relist has the list of the entries taken anew when it is used next: it has changed.
func (x *peerExchange) invalidateOwners() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listedAt = time.Time{}
}

// listedAt returns when the list of the entries was taken.
func (x *peerExchange) ownersListedAt() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshOwners(x.now())
	return x.listedAt
}

// addressOf returns where an entry takes datagrams, if it is known to be up.
func (x *peerExchange) peerAddress(entry string) (netip.AddrPort, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshOwners(x.now())
	addr, known := x.addresses[entry]
	return addr, known
}

// sendKnown sends a message to an entry that is known, whether or not it is up.
func (x *peerExchange) sendToKnown(e *directory.Entry, m *message) {
	if addr, ok := x.entryAddress(e); ok {
		m.From, m.Life = x.self.Name, x.self.Incarnation
		x.transport.send(addr, m)
	}
}

func (x *peerExchange) nextSequence() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	return x.sequence
}

// sendTo sends a message to an entry, if it is known.
func (x *peerExchange) sendTo(entry string, m *message) {
	if addr, known := x.peerAddress(entry); known {
		m.From, m.Life = x.self.Name, x.self.Incarnation
		x.transport.send(addr, m)
	}
}

// askLimit asks the keeper of a pool to let a request in. asked is false where it has not
// answered in time, or is not known.
func (x *peerExchange) requestAdmission(ctx context.Context, owner string, request limitRequest) (response limitResponse, answered bool) {
	if _, known := x.peerAddress(owner); !known {
		return limitResponse{}, false
	}
	call, sequence := x.startCall(1)
	for range maxLimitAttempts {
		x.sendTo(owner, &message{Sequence: sequence, Kind: kindLimitRequest, Limit: &request})
		if call.wait(ctx) {
			break
		}
	}
	if received := x.endCall(sequence).limit; received != nil {
		return *received, true
	}
	return limitResponse{}, false
}

// answerLimit decides for another entry.
func (x *peerExchange) handleLimitRequest(m *message) {
	if response, known := x.limits.decide(m.Limit); known {
		x.sendTo(m.From, &message{Sequence: m.Sequence, Kind: kindLimitResponse, Answer: &response})
	}
}

// tellRefund gives a pool's keeper back what a request that did not run had taken.
func (x *peerExchange) sendRefund(owner string, r limitRequest) {
	x.sendTo(owner, &message{Kind: kindRefund, Limit: &r})
}
