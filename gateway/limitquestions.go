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
const limitTries = 3

// limitGroups is in how many groups the workspaces' limits are kept together. With one keeper
// for each pool, entries would be asked for their shares by ever more keepers.
const limitGroups = 16

// limitKey names the group of a workspace's limit, apart from any server. The pools of a group
// go to the entries that come first, one each, so that the loss of one leaves the others.
func limitKey(key limit.Key) string {
	return "limits/" + strconv.FormatUint(xxhash.Sum64String(key.Workspace)%limitGroups, 10)
}

// ownerOf returns the entry that should keep a pool, by the list that is held here; empty
// where there is none.
func (k *bookkeeper) ownerOf(key limit.Key) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	return k.owners.OwnerAt(limitKey(key), key.Number)
}

// peers returns the names of the other entries that can be reached, in order.
func (k *bookkeeper) peers() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	return slices.Sorted(maps.Keys(k.address))
}

// relist has the list of the entries taken anew when it is used next: it has changed.
func (k *bookkeeper) relist() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listed = time.Time{}
}

// listedAt returns when the list of the entries was taken.
func (k *bookkeeper) listedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	return k.listed
}

// addressOf returns where an entry takes datagrams, if it is known to be up.
func (k *bookkeeper) addressOf(entry string) (netip.AddrPort, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list(k.now())
	addr, known := k.address[entry]
	return addr, known
}

// sendKnown sends a message to an entry that is known, whether or not it is up.
func (k *bookkeeper) sendKnown(e *directory.Entry, m *message) {
	if addr, ok := k.datagramsOf(e); ok {
		m.From, m.Life = k.self.Name, k.self.Incarnation
		k.wire.send(addr, m)
	}
}

func (k *bookkeeper) nextSequence() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	return k.sequence
}

// sendTo sends a message to an entry, if it is known.
func (k *bookkeeper) sendTo(entry string, m *message) {
	if addr, known := k.addressOf(entry); known {
		m.From, m.Life = k.self.Name, k.self.Incarnation
		k.wire.send(addr, m)
	}
}

// askLimit asks the keeper of a pool to let a request in. asked is false where it has not
// answered in time, or is not known.
func (k *bookkeeper) askLimit(ctx context.Context, keeper string, question limitQuestion) (answer limitAnswer, asked bool) {
	if _, known := k.addressOf(keeper); !known {
		return limitAnswer{}, false
	}
	q, sequence := k.open(1)
	for range limitTries {
		k.sendTo(keeper, &message{Sequence: sequence, Kind: askLimit, Limit: &question})
		if q.wait(ctx) {
			break
		}
	}
	if told := k.close(sequence).limit; told != nil {
		return *told, true
	}
	return limitAnswer{}, false
}

// answerLimit decides for another entry.
func (k *bookkeeper) answerLimit(m *message) {
	if answer, known := k.limits.decide(m.Limit); known {
		k.sendTo(m.From, &message{Sequence: m.Sequence, Kind: tellLimit, Answer: &answer})
	}
}

// tellRefund gives a pool's keeper back what a request that did not run had taken.
func (k *bookkeeper) tellRefund(keeper string, q limitQuestion) {
	k.sendTo(keeper, &message{Kind: noteRefund, Limit: &q})
}
