package gateway

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/directory"
	"savoryreel.example/savoryreel/policy/limit"
)

// maxLimitAttempts is how often a request is sent to the owner of a pool before the owner
// counts as unreachable: a datagram may be lost or the owner busy.
const maxLimitAttempts = 3

// limitGroups is the number of groups of workspaces whose pools have the same owners. With
// an owner for each pool, the lease requests to each entry would grow with the workspaces.
const limitGroups = 16

// limitGroup returns the group of a workspace.
func limitGroup(workspace string) int { return int(xxhash.Sum64String(workspace) % limitGroups) }

// limitGroupName returns the name by which the owners of a group's pools are chosen. Its
// prefix keeps it apart from servers' names. Pool n goes to the n-th entry in the order of
// that name, so that the pools of a limit have distinct owners.
func limitGroupName(group int) string { return "limits/" + strconv.Itoa(group) }

// poolOwner returns the entry that should own a pool, by the current list of entries; empty
// if the list has none.
func (x *peerExchange) poolOwner(key limit.Key) string { return x.currentList().poolOwner(key) }

// peerAddress returns the address for datagrams to an entry; the second result is false if
// the entry is not live.
func (x *peerExchange) peerAddress(entry string) (netip.AddrPort, bool) {
	addr, known := x.currentList().addresses[entry]
	return addr, known
}

// sendToKnown sends a message to an entry by its record, whether or not it is live.
func (x *peerExchange) sendToKnown(e *directory.Entry, m *message) {
	if addr, ok := entryAddress(e, x.datagramAddress); ok {
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

// sendTo sends a message to a live entry and does nothing if the entry is not live.
func (x *peerExchange) sendTo(entry string, m *message) {
	if addr, known := x.peerAddress(entry); known {
		m.From, m.Life = x.self.Name, x.self.Incarnation
		x.transport.send(addr, m)
	}
}

// requestAdmission asks the owner of a pool to admit a request. answered is false if the
// owner is not live or did not respond within maxLimitAttempts.
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

// handleLimitRequest responds to another entry's limitRequest.
func (x *peerExchange) handleLimitRequest(m *message) {
	decide := func() (limitResponse, bool) { return x.limits.decide(m.Limit) }
	if response, known := x.limitResponses.once(m, decide); known {
		x.sendTo(m.From, &message{Sequence: m.Sequence, Kind: kindLimitResponse, Answer: &response})
	}
}

// sendRefund sends the cost of a request that did not run back to its pool's owner.
func (x *peerExchange) sendRefund(owner string, r limitRequest) {
	x.sendTo(owner, &message{Kind: kindRefund, Limit: &r})
}
