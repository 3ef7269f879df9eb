package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

const (
	// renewInterval is how often an owner sends lease requests to the entries that are due.
	renewInterval = 50 * time.Millisecond
	// idleRenewInterval takes the place of renewInterval at an entry that owns no pools and has
	// its share: most entries of a large fleet.
	idleRenewInterval = 500 * time.Millisecond
	// fastRenewWindow is how long after its start an owner asks each entry every
	// limit.FirstRenewPeriod.
	fastRenewWindow = 2 * time.Second
	// maxReturnRequests bounds the requests for the return of shares that an entry sends every
	// renewInterval, and so what each entry receives when all have restarted.
	maxReturnRequests = 50
	// leaseClockFraction is the fraction of a lease that the borrower relies on, which
	// allows for clocks that run at different rates.
	leaseClockFraction = 0.95
	// maxPoolsPerMessage and maxNameBytesPerMessage keep a message within a datagram.
	maxPoolsPerMessage     = 30
	maxNameBytesPerMessage = 900
)

// sharesMessage requests the lease of an entry's shares of pools, or grants it. It is
// encoded by the order of its fields.
type sharesMessage struct {
	Pools []limit.Key
	For   time.Duration // duration of the lease
	Part  float64       // in a response: the lender's share of each pool
	Saved []float64     // in a response: unused tokens of each share, in the limit's unit
}

// leaseRenewal is the state of the lease requests that this entry sends as an owner.
type leaseRenewal struct {
	nextEntry  int     // index of the entry last asked, in order of names
	dueEntries float64 // entries that are due, with a fraction carried over
	ownedPools []limit.Key
	list       *entryList              // that ownedPools was computed from
	loggedAt   time.Time               // when the owned limits were last compared with those logged
	pending    map[uint64]pendingLease // by sequence
	nextReturn int                     // index of the known entry last asked for a return
}

// pendingLease is a lease request without a response.
type pendingLease struct {
	entry    string
	sentAt   time.Time
	duration time.Duration
}

// run renews the leases and this entry's share until ctx ends.
func (l *limits) run(ctx context.Context) error {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.exchange.listChanged:
		case <-timer.C:
		}
		l.updateShare()
		l.requestReturns()
		l.renewLeases()
		timer.Reset(l.renewDelay())
	}
}

// renewDelay returns the time until the shares and leases are to be renewed again.
func (l *limits) renewDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools.Share() > 0 && len(l.renewal.ownedPools) == 0 {
		return idleRenewInterval
	}
	return renewInterval
}

// renewLeases asks the entries that are due to lend their shares of the pools that this
// entry should own. An owner calls it every renewInterval.
func (l *limits) renewLeases() {
	list := l.exchange.currentList()
	names := list.names
	l.mu.Lock()
	now := l.now()
	if list != l.renewal.list {
		l.renewal.ownedPools, l.renewal.list = l.ownedPools(list), list
	}
	if now.Sub(l.renewal.loggedAt) >= entryListTTL {
		l.renewal.loggedAt = now
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
		period = limit.FirstRenewPeriod(len(names) + 1)
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

// ownedPools returns the pools that this entry should own by a list of entries, sorted. l.mu
// is held.
func (l *limits) ownedPools(list *entryList) []limit.Key {
	var owned []limit.Key
	for workspace := range l.workspaces {
		for n := range limitPools {
			if key := (limit.Key{Workspace: workspace, Number: n}); list.poolOwner(key) == l.exchange.self.Name {
				owned = append(owned, key)
			}
		}
	}
	slices.SortFunc(owned, func(a, b limit.Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Number, b.Number))
	})
	return owned
}

// logOwnedLimits logs changes of the limits of which this entry owns pools. l.mu is held.
func (l *limits) logOwnedLimits(now time.Time) {
	owned := maps.Clone(l.ownedWorkspaces)
	for _, key := range l.renewal.ownedPools {
		owned[key.Workspace] = true
	}
	for workspace := range owned {
		poolLimit, limited := l.poolLimit(workspace)
		if !limited {
			continue
		}
		shareSum := 0.0
		for n := range limitPools {
			shareSum = max(shareSum, l.pools.Pool(limit.Key{Workspace: workspace, Number: n}, poolLimit, now).ShareSum(now))
		}
		l.logOwnership(workspace, shareSum)
	}
}

// splitPools splits pools into chunks that fit a datagram each.
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

// lend responds to an owner's lease request.
func (l *limits) lend(m *message) {
	if _, known := l.exchange.peerAddress(m.From); !known {
		return // it has no address to respond to
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

// borrow adds the shares of a lease response to this entry's pools. The lease counts from
// the time of the request: the lender counts from its receipt, which is later, so the
// borrower stops using the shares before the lender uses them again.
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

// lenderIncarnation is an incarnation of an entry that has requested the return of its
// shares. held is whether this entry had any.
type lenderIncarnation struct {
	incarnation uint64
	held        bool
}

// starting reports whether this entry has just started and either uses no share yet or does
// not know all entries that share the limits, so that it can't lend its share to the pools'
// owners.
func (l *limits) starting() bool {
	now := l.now()
	if !l.shares.settled(now) {
		return true
	}
	return now.Sub(l.start) < fastRenewWindow && len(l.exchange.currentList().names)+1 < l.shares.entryCount()
}

// requestReturns asks other entries to return the shares that the previous incarnation of
// this entry may have lent them, a bounded number at a time. This entry uses no share until
// all have responded or every such lease has expired. It is called every renewInterval.
func (l *limits) requestReturns() {
	if !l.shares.returnsNeeded(l.now()) {
		return
	}
	entries := l.exchange.knownEntries()
	requests := min(maxReturnRequests, len(entries))
	for range entries {
		if requests == 0 {
			return
		}
		l.renewal.nextReturn = (l.renewal.nextReturn + 1) % len(entries)
		e := &entries[l.renewal.nextReturn]
		if e.Name != l.exchange.self.Name && !l.shares.hasReturned(e.Name) {
			l.exchange.sendToKnown(e, &message{Kind: kindReturnRequest})
			requests--
		}
	}
}

// recordReturn records that an entry has returned the shares of the previous incarnation of
// this entry.
func (l *limits) recordReturn(m *message) {
	l.shares.recordReturn(m.From, m.Held, m.Up, l.now())
	l.updateShare()
}

// returnShares drops the shares that an earlier incarnation of the sender had lent.
func (l *limits) returnShares(m *message) {
	l.mu.Lock()
	if m.Life > l.lenders[m.From].incarnation {
		l.lenders[m.From] = lenderIncarnation{incarnation: m.Life, held: l.pools.ReturnShares(m.From, l.now())}
	}
	held := l.lenders[m.From].held
	l.mu.Unlock()
	if e, known := l.exchange.knownEntry(m.From); known {
		l.exchange.sendToKnown(&e, &message{Kind: kindReturnResponse, Held: held, Up: l.now().Sub(l.start)})
	}
}
