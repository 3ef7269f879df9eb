package gateway

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/policy/suspect"
)

// breakOwners is the number of entries that count the servers on which a request broke off. If
// one of them is lost or starts anew, the other one still knows.
const breakOwners = 2

// aliveTimeout is how long a server that broke a connection has to take another one.
const aliveTimeout = 100 * time.Millisecond

// reasonSuspect is logged for a request that is not repeated because it broke off on too many
// servers.
const reasonSuspect = "suspect"

// breakMessage is about a request that broke off. It is encoded by the order of its fields.
type breakMessage struct {
	Fingerprint uint64
	Server      string
	Incarnation uint64
	Servers     int // in a response: on how many servers the request broke off
}

// breaks counts the servers on which requests broke off: those sent by this entry, and those
// whose fingerprint it owns. It is safe for concurrent use.
type breaks struct {
	now func() time.Time

	mu  sync.Mutex
	set *suspect.Set
}

func newBreaks(now func() time.Time) *breaks { return &breaks{now: now, set: suspect.NewSet()} }

// record records a break, and returns on how many servers the request broke off.
func (b *breaks) record(m *breakMessage) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set.RecordBreak(m.Fingerprint, suspect.Server{ID: m.Server, Incarnation: m.Incarnation}, b.now())
}

// forget forgets a request that a server has answered, and reports whether it was held.
func (b *breaks) forget(fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set.RecordAnswer(fingerprint)
}

// expire forgets the requests that have not broken off for long.
func (b *breaks) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set.Expire(b.now())
}

func (b *breaks) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set.Empty()
}

// breakOwnersOf returns the other entries that own a fingerprint.
func (x *peerExchange) breakOwnersOf(fingerprint uint64) (owners []string) {
	list := x.currentList()
	name := "request/" + strconv.FormatUint(fingerprint, 16)
	for i := range breakOwners {
		owner := list.owners.OwnerAt(name, i)
		if _, known := list.addresses[owner]; known {
			owners = append(owners, owner)
		}
	}
	return owners
}

// reportBreak records a break here and at the owners of the request's fingerprint, and returns
// on how many servers the request broke off, as far as the owners respond in time.
func (x *peerExchange) reportBreak(ctx context.Context, m breakMessage) int {
	local := x.breaks.record(&m)
	owners := x.breakOwnersOf(m.Fingerprint)
	if len(owners) == 0 {
		return local
	}
	call, sequence := x.startCall(len(owners))
	for _, owner := range owners {
		x.sendTo(owner, &message{Sequence: sequence, Kind: kindBreakReport, Break: &m})
	}
	call.wait(ctx)
	return max(local, x.endCall(sequence).broken)
}

// handleBreakReport records another entry's break and responds with the servers so far.
func (x *peerExchange) handleBreakReport(m *message) {
	response := *m.Break
	response.Servers = x.breaks.record(m.Break)
	x.sendTo(m.From, &message{Sequence: m.Sequence, Kind: kindBreakResponse, Break: &response})
}

// reportAnswer reports to the owners of a fingerprint that a server has answered the request.
func (x *peerExchange) reportAnswer(fingerprint uint64) {
	for _, owner := range x.breakOwnersOf(fingerprint) {
		x.sendTo(owner, &message{Kind: kindBreakAnswered, Break: &breakMessage{Fingerprint: fingerprint}})
	}
}

// fingerprint identifies the request among those of its caller: the same request has the same
// one, whatever its id.
func (j *job) fingerprint() uint64 {
	d := xxhash.New()
	for _, field := range [][]byte{[]byte(j.workspaceName()), []byte(j.Host), []byte(j.Method), []byte(j.Target), j.Body} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // a digest never fails
		_, _ = d.Write(field)
	}
	return d.Sum64()
}

// crashesServers records that the request broke off on a server which is gone since, and reports
// whether it has on so many that it may be what ends them. A server that still takes connections
// has only broken this one.
func (j *job) crashesServers(ctx context.Context, c *choice) bool {
	if j.gateway.pool.Alive(ctx, c.verdict.Address, aliveTimeout) {
		return false
	}
	m := breakMessage{Fingerprint: j.fingerprint(), Server: c.verdict.Server, Incarnation: c.verdict.Incarnation}
	return j.gateway.exchange.reportBreak(ctx, m) >= suspect.MaxServers
}

// recordAnswered records that a server has answered the request.
func (j *job) recordAnswered() {
	x := j.gateway.exchange
	if x.breaks.empty() {
		return
	}
	if fingerprint := j.fingerprint(); x.breaks.forget(fingerprint) {
		x.reportAnswer(fingerprint)
	}
}
