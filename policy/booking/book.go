package booking

import "time"

// Load is what runs and waits at a server.
type Load struct {
	Running int // requests
	Prefill int // prompt tokens of those of them that have no answer yet
	// Down says that somebody has just found that the server is not there any more.
	Down bool
}

// Reporter is one life of an entry. What a life told ends with it.
type Reporter struct {
	Name        string
	Incarnation uint64
}

// holds is how long a word counts that is not renewed. Entries renew theirs a few times
// in that span, so that one lost datagram does not count.
const holds = 4 * time.Second

// LoadTable is what entries have running, by server.
type LoadTable struct {
	servers map[string]*account
}

// account is the book of one server.
type account struct {
	tellers map[string]word // by the entry's name
	total   Load
	// progress is when a prompt was last known to have been read, or the first one
	// came to an idle server: since then the server reads on.
	progress time.Time
	down     time.Time // when it was last found not to be there
}

// word is what an entry told last.
type word struct {
	life     uint64
	sequence uint64
	load     Load
	at       time.Time
}

// NewLoadTable returns a book that knows of nothing.
func NewLoadTable() *LoadTable { return &LoadTable{servers: make(map[string]*account)} }

// Record takes what an entry has running at a server now, in place of what it told
// before. sequence grows with each word of a life: datagrams may overtake each other.
func (b *LoadTable) Record(from Reporter, sequence uint64, server string, l Load, now time.Time) {
	a := b.servers[server]
	if a == nil {
		if l == (Load{}) {
			return
		}
		a = &account{tellers: make(map[string]word), progress: now}
		b.servers[server] = a
	}
	if l.Down {
		a.down, l.Down = now, false
	}
	held, known := a.tellers[from.Name]
	if known && (from.Incarnation < held.life || from.Incarnation == held.life && sequence <= held.sequence) {
		return
	}
	if l.Prefill < held.load.Prefill || a.total.Prefill == 0 {
		a.progress = now
	}
	a.total.Running += l.Running - held.load.Running
	a.total.Prefill += l.Prefill - held.load.Prefill
	// An empty word is kept for a while too: an older one may still come.
	a.tellers[from.Name] = word{from.Incarnation, sequence, l, now}
}

// LoadOfOthers returns what all entries but one have at a server, and how many prompt tokens
// are still to be read there at a rate in tokens per second.
func (b *LoadTable) LoadOfOthers(asker, server string, rate float64, now time.Time) Load {
	a := b.servers[server]
	if a == nil {
		return Load{}
	}
	a.forget(now)
	own := a.tellers[asker].load
	l := Load{Down: !a.down.IsZero() && now.Sub(a.down) < downFor, Running: max(a.total.Running-own.Running, 0), Prefill: max(a.total.Prefill-own.Prefill, 0)}
	if l.Prefill > 0 {
		// What the server has read since is taken off the others' part by its share.
		read := rate * max(now.Sub(a.progress).Seconds(), 0) * float64(l.Prefill) / float64(a.total.Prefill)
		l.Prefill = max(l.Prefill-int(read), int(unread*float64(l.Prefill)))
	}
	return l
}

// downFor is how long a server is taken to be down that was found so. All entries would
// find out one after the other meanwhile; after it the first one tries again.
const downFor = time.Second

// unread is the part of what was told that counts as not read until the answers come. A
// long prompt is read slower than the rate says, and whoever is sent behind one that was
// taken to be read is late.
const unread = 0.5

// Sweep drops words that were not renewed, and servers of which none is left.
func (b *LoadTable) Sweep(now time.Time) {
	for id, a := range b.servers {
		if a.forget(now); len(a.tellers) == 0 && now.Sub(a.down) >= downFor {
			delete(b.servers, id)
		}
	}
}

// forget drops the words of entries that have gone.
func (a *account) forget(now time.Time) {
	for name, w := range a.tellers {
		if now.Sub(w.at) <= holds {
			continue
		}
		a.total.Running -= w.load.Running
		a.total.Prefill -= w.load.Prefill
		delete(a.tellers, name)
	}
}
