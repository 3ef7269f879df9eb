package gateway

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

const (
	// askEvery is how often a keeper asks some of the entries for their shares.
	renewInterval = 50 * time.Millisecond
	// startFor is how long after its start a keeper asks each entry every startAskPeriod:
	// where all have started at once, each of them has a share at another moment.
	fastRenewWindow = 2 * time.Second
	fastRenewPeriod = 100 * time.Millisecond
	// clockPart is the part of a lease that the keeper counts on: clocks may differ by so
	// much in their rates.
	leaseClockFraction = 0.95
	// poolsInMessage and nameBytesInMessage bound the pools of a datagram.
	maxPoolsPerMessage     = 30
	maxNameBytesPerMessage = 900
)

// sharesMessage asks for an entry's shares of pools, or lends them.
type sharesMessage struct {
	Pools []limit.Key
	For   time.Duration // for how long
	Part  float64       // in the answer: of each pool
	Saved []float64     // in the answer: what is left of each, in the limit's unit
}

// asking is which entries a keeper has asked for their shares.
type leaseRenewal struct {
	nextEntry  int     // among the entries by name
	dueEntries float64 // entries whose turn it is
	ownedPools []limit.Key
	// listed is when the list of entries was taken that keys was made from.
	ownersListedAt time.Time
	pending        map[uint64]pendingLease // by sequence
}

// askedShares is a question that was sent.
type pendingLease struct {
	entry    string
	sentAt   time.Time
	duration time.Duration
}

// askShares asks the entries whose turn it is for their shares of the pools that this
// entry should keep. It is called every askEvery.
func (l *limits) renewLeases() {
	names := l.exchange.peerNames()
	l.mu.Lock()
	now := l.now()
	if listedAt := l.exchange.ownersListedAt(); listedAt != l.renewal.ownersListedAt {
		l.renewal.ownedPools, l.renewal.ownersListedAt = l.ownedPools(), listedAt
		l.logOwnedLimits(now)
	}
	owned := l.renewal.ownedPools
	for sequence, lease := range l.renewal.pending {
		if now.Sub(lease.sentAt) > lease.duration {
			delete(l.renewal.pending, sequence)
		}
	}
	if len(names) == 0 || len(owned) == 0 {
		l.mu.Unlock()
		return
	}
	period := limit.RenewPeriod(len(names) + 1)
	if now.Sub(l.start) < fastRenewWindow {
		period = min(period, fastRenewPeriod)
	}
	l.renewal.dueEntries = min(l.renewal.dueEntries+float64(len(names))*float64(renewInterval)/float64(period), float64(len(names)))
	duration := limit.LeaseDuration(len(names) + 1)
	var due []string
	for ; l.renewal.dueEntries >= 1; l.renewal.dueEntries-- {
		l.renewal.nextEntry = (l.renewal.nextEntry + 1) % len(names)
		due = append(due, names[l.renewal.nextEntry])
	}
	l.mu.Unlock()
	for _, entry := range due {
		for _, chunk := range splitPools(owned) {
			l.requestLease(entry, chunk, duration)
		}
	}
}

func (l *limits) requestLease(entry string, keys []limit.Key, duration time.Duration) {
	sequence := l.exchange.nextSequence()
	l.mu.Lock()
	l.renewal.pending[sequence] = pendingLease{entry: entry, sentAt: l.now(), duration: duration}
	l.mu.Unlock()
	l.exchange.sendTo(entry, &message{Sequence: sequence, Kind: kindLeaseRequest, Shares: &sharesMessage{Pools: keys, For: duration}})
}

// ownKeys returns the pools that this entry should keep, in order. l.mu is held.
func (l *limits) ownedPools() []limit.Key {
	var owned []limit.Key
	for workspace := range l.workspaces {
		for n := range limitPools {
			if key := (limit.Key{Workspace: workspace, Number: n}); l.exchange.poolOwner(key) == l.exchange.self.Name {
				owned = append(owned, key)
			}
		}
	}
	slices.SortFunc(owned, func(a, b limit.Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Number, b.Number))
	})
	return owned
}

// noteKept logs whose limits this entry has begun to keep, or no longer does. l.mu is
// held.
func (l *limits) logOwnedLimits(now time.Time) {
	for workspace := range l.workspaces {
		poolLimit, _ := l.poolLimit(workspace)
		shareSum := 0.0
		for n := range limitPools {
			shareSum = max(shareSum, l.pools.Pool(limit.Key{Workspace: workspace, Number: n}, poolLimit, now).ShareSum(now))
		}
		l.logOwnership(workspace, shareSum)
	}
}

// chunks cuts pools into parts that fit a datagram each.
func splitPools(keys []limit.Key) [][]limit.Key {
	var out [][]limit.Key
	bytes := 0
	for _, key := range keys {
		bytes += len(key.Workspace)
		last := len(out) - 1
		if last < 0 || len(out[last]) == maxPoolsPerMessage || bytes > maxNameBytesPerMessage {
			out = append(out, nil)
			last++
			bytes = len(key.Workspace)
		}
		out[last] = append(out[last], key)
	}
	return out
}

// lend answers a keeper that asks for this entry's shares.
func (l *limits) lend(m *message) {
	if _, known := l.exchange.peerAddress(m.From); !known {
		return // it would not get the answer
	}
	l.mu.Lock()
	now := l.now()
	response := sharesMessage{For: min(m.Shares.For, limit.LeaseDuration(limit.EntriesForShare(l.pools.Share())))}
	for _, key := range m.Shares.Pools {
		if _, limited := l.workspaces[key.Workspace]; !limited || key.Number < 0 || key.Number >= limitPools {
			continue
		}
		if share, saved, ok := l.pools.Lend(key, m.From, l.exchange.poolOwner(key), response.For, now); ok {
			response.Pools, response.Part = append(response.Pools, key), share
			response.Saved = append(response.Saved, saved)
		}
	}
	l.mu.Unlock()
	if len(response.Pools) > 0 {
		l.exchange.sendTo(m.From, &message{Sequence: m.Sequence, Kind: kindLeaseResponse, Shares: &response})
	}
}

// borrowed takes an entry's shares. They count from the question on, not from the answer:
// the entry uses them again at a time that it counts from between the two.
func (l *limits) borrow(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, known := l.renewal.pending[m.Sequence]
	if !known || lease.entry != m.From || m.Life < l.lenders[m.From].incarnation {
		return
	}
	delete(l.renewal.pending, m.Sequence)
	now := l.now()
	until := lease.sentAt.Add(time.Duration(leaseClockFraction * float64(min(lease.duration, m.Shares.For))))
	if !now.Before(until) {
		return
	}
	for i, key := range m.Shares.Pools {
		saved := 0.0
		if now.Sub(lease.sentAt) <= limit.MaxSavedAge {
			saved = m.Shares.Saved[i]
		}
		if poolLimit, limited := l.poolLimit(key.Workspace); limited {
			l.pools.Pool(key, poolLimit, now)
			l.pools.Borrow(key, m.From, m.Shares.Part, saved, until, now)
		}
	}
}

// lenderLife is a life of an entry that has asked for what the one before had lent, and
// whether there was anything.
type lenderIncarnation struct {
	incarnation uint64
	held        bool
}

// starting reports whether this entry has just started and does not know yet of all others
// that share the limits: it uses no share, or can't lend it to the keepers.
func (l *limits) starting() bool {
	now := l.now()
	if !l.shares.settled(now) {
		return true
	}
	return now.Sub(l.start) < fastRenewWindow && len(l.exchange.peerNames())+1 < l.shares.divisorInUse()
}

// askSharesBack asks all other entries for what the life before this one may have lent
// them. Until they have answered, or such a lease must have run out, this entry uses no
// share.
func (l *limits) requestReturns() {
	if l.shares.settled(l.now()) {
		return
	}
	for _, e := range l.exchange.knownEntries() {
		if e.Name != l.exchange.self.Name && !l.shares.hasReturned(e.Name) {
			l.exchange.sendToKnown(&e, &message{Kind: kindReturnRequest})
		}
	}
}

// tookBack takes that an entry has given back what the life before this one had lent it.
func (l *limits) recordReturn(m *message) {
	l.shares.recordReturn(m.From, m.Held, m.Up, l.now())
	l.updateShare()
}

// giveBack drops what an entry that has started anew had lent.
func (l *limits) returnShares(m *message) {
	l.mu.Lock()
	if m.Life > l.lenders[m.From].incarnation {
		l.lenders[m.From] = lenderIncarnation{incarnation: m.Life, held: l.pools.ReturnShares(m.From, l.now())}
	}
	held := l.lenders[m.From].held
	l.mu.Unlock()
	for _, e := range l.exchange.knownEntries() {
		if e.Name == m.From {
			l.exchange.sendToKnown(&e, &message{Kind: kindReturnResponse, Held: held, Up: l.now().Sub(l.start)})
		}
	}
}
