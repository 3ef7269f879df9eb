package gateway

import (
	"cmp"
	"slices"
	"time"

	"savoryreel.example/savoryreel/policy/limit"
)

const (
	// askEvery is how often a keeper asks some of the entries for their shares.
	askEvery = 50 * time.Millisecond
	// startFor is how long after its start a keeper asks each entry every startAskPeriod:
	// where all have started at once, each of them has a share at another moment.
	startFor       = 2 * time.Second
	startAskPeriod = 100 * time.Millisecond
	// clockPart is the part of a lease that the keeper counts on: clocks may differ by so
	// much in their rates.
	clockPart = 0.95
	// poolsInMessage and nameBytesInMessage bound the pools of a datagram.
	poolsInMessage     = 30
	nameBytesInMessage = 900
)

// sharesMessage asks for an entry's shares of pools, or lends them.
type sharesMessage struct {
	Pools []limit.Key
	For   time.Duration // for how long
	Part  float64       // in the answer: of each pool
	Saved []float64     // in the answer: what is left of each, in the limit's unit
}

// asking is which entries a keeper has asked for their shares.
type asking struct {
	next int     // among the entries by name
	due  float64 // entries whose turn it is
	keys []limit.Key
	// listed is when the list of entries was taken that keys was made from.
	listed time.Time
	open   map[uint64]askedShares // by sequence
}

// askedShares is a question that was sent.
type askedShares struct {
	entry string
	at    time.Time
	long  time.Duration
}

// askShares asks the entries whose turn it is for their shares of the pools that this
// entry should keep. It is called every askEvery.
func (l *limits) askShares() {
	names := l.books.peers()
	l.mu.Lock()
	now := l.now()
	if listed := l.books.listedAt(); listed != l.asking.listed {
		l.asking.keys, l.asking.listed = l.ownKeys(), listed
		l.noteKept(now)
	}
	keys := l.asking.keys
	for sequence, asked := range l.asking.open {
		if now.Sub(asked.at) > asked.long {
			delete(l.asking.open, sequence)
		}
	}
	if len(names) == 0 || len(keys) == 0 {
		l.mu.Unlock()
		return
	}
	period := limit.RenewPeriod(len(names) + 1)
	if now.Sub(l.start) < startFor {
		period = min(period, startAskPeriod)
	}
	l.asking.due = min(l.asking.due+float64(len(names))*float64(askEvery)/float64(period), float64(len(names)))
	long := limit.LeaseDuration(len(names) + 1)
	var asked []string
	for ; l.asking.due >= 1; l.asking.due-- {
		l.asking.next = (l.asking.next + 1) % len(names)
		asked = append(asked, names[l.asking.next])
	}
	l.mu.Unlock()
	for _, entry := range asked {
		for _, part := range chunks(keys) {
			l.ask(entry, part, long)
		}
	}
}

func (l *limits) ask(entry string, keys []limit.Key, long time.Duration) {
	sequence := l.books.nextSequence()
	l.mu.Lock()
	l.asking.open[sequence] = askedShares{entry: entry, at: l.now(), long: long}
	l.mu.Unlock()
	l.books.sendTo(entry, &message{Sequence: sequence, Kind: askShares, Shares: &sharesMessage{Pools: keys, For: long}})
}

// ownKeys returns the pools that this entry should keep, in order. l.mu is held.
func (l *limits) ownKeys() []limit.Key {
	var keys []limit.Key
	for workspace := range l.workspaces {
		for n := range limitPools {
			if key := (limit.Key{Workspace: workspace, Number: n}); l.books.ownerOf(key) == l.books.self.Name {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, func(a, b limit.Key) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Number, b.Number))
	})
	return keys
}

// noteKept logs whose limits this entry has begun to keep, or no longer does. l.mu is
// held.
func (l *limits) noteKept(now time.Time) {
	for workspace := range l.workspaces {
		of, _ := l.limitOf(workspace)
		parts := 0.0
		for n := range limitPools {
			parts = max(parts, l.keeper.Pool(limit.Key{Workspace: workspace, Number: n}, of, now).ShareSum(now))
		}
		l.logKept(workspace, parts)
	}
}

// chunks cuts pools into parts that fit a datagram each.
func chunks(keys []limit.Key) [][]limit.Key {
	var out [][]limit.Key
	bytes := 0
	for _, key := range keys {
		bytes += len(key.Workspace)
		last := len(out) - 1
		if last < 0 || len(out[last]) == poolsInMessage || bytes > nameBytesInMessage {
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
	if _, known := l.books.addressOf(m.From); !known {
		return // it would not get the answer
	}
	l.mu.Lock()
	now := l.now()
	told := sharesMessage{For: min(m.Shares.For, limit.LeaseDuration(limit.EntriesForShare(l.keeper.Share())))}
	for _, key := range m.Shares.Pools {
		if _, limited := l.workspaces[key.Workspace]; !limited || key.Number < 0 || key.Number >= limitPools {
			continue
		}
		if part, saved, ok := l.keeper.Lend(key, m.From, l.books.ownerOf(key), told.For, now); ok {
			told.Pools, told.Part = append(told.Pools, key), part
			told.Saved = append(told.Saved, saved)
		}
	}
	l.mu.Unlock()
	if len(told.Pools) > 0 {
		l.books.sendTo(m.From, &message{Sequence: m.Sequence, Kind: lendShares, Shares: &told})
	}
}

// borrowed takes an entry's shares. They count from the question on, not from the answer:
// the entry uses them again at a time that it counts from between the two.
func (l *limits) borrowed(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, known := l.asking.open[m.Sequence]
	if !known || asked.entry != m.From || m.Life < l.lives[m.From].life {
		return
	}
	delete(l.asking.open, m.Sequence)
	now := l.now()
	until := asked.at.Add(time.Duration(clockPart * float64(min(asked.long, m.Shares.For))))
	if !now.Before(until) {
		return
	}
	for i, key := range m.Shares.Pools {
		saved := 0.0
		if now.Sub(asked.at) <= limit.MaxSavedAge {
			saved = m.Shares.Saved[i]
		}
		if of, limited := l.limitOf(key.Workspace); limited {
			l.keeper.Pool(key, of, now)
			l.keeper.Borrow(key, m.From, m.Shares.Part, saved, until, now)
		}
	}
}

// lenderLife is a life of an entry that has asked for what the one before had lent, and
// whether there was anything.
type lenderLife struct {
	life uint64
	held bool
}

// starting reports whether this entry has just started and does not know yet of all others
// that share the limits: it uses no share, or can't lend it to the keepers.
func (l *limits) starting() bool {
	now := l.now()
	if !l.shares.settled(now) {
		return true
	}
	return now.Sub(l.start) < startFor && len(l.books.peers())+1 < l.shares.inUse()
}

// askSharesBack asks all other entries for what the life before this one may have lent
// them. Until they have answered, or such a lease must have run out, this entry uses no
// share.
func (l *limits) askSharesBack() {
	if l.shares.settled(l.now()) {
		return
	}
	for _, e := range l.books.known() {
		if e.Name != l.books.self.Name && !l.shares.hasReturned(e.Name) {
			l.books.sendKnown(&e, &message{Kind: askBack})
		}
	}
}

// tookBack takes that an entry has given back what the life before this one had lent it.
func (l *limits) tookBack(m *message) {
	l.shares.returned(m.From, m.Held, m.Up, l.now())
	l.takePart()
}

// giveBack drops what an entry that has started anew had lent.
func (l *limits) giveBack(m *message) {
	l.mu.Lock()
	if m.Life > l.lives[m.From].life {
		l.lives[m.From] = lenderLife{life: m.Life, held: l.keeper.ReturnShares(m.From, l.now())}
	}
	held := l.lives[m.From].held
	l.mu.Unlock()
	for _, e := range l.books.known() {
		if e.Name == m.From {
			l.books.sendKnown(&e, &message{Kind: gaveBack, Held: held, Up: l.now().Sub(l.start)})
		}
	}
}
