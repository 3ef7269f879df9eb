package booking

import "time"

// Load is what runs and waits at a server.
type Load struct {
	Running int // requests
	Prefill int // prompt tokens of those of them that have no answer yet
	// Down says that somebody has just found that the server is not there any more.
	Down bool
}

// Teller is one life of an entry. What a life told ends with it.
type Teller struct {
	Name string
	Life uint64
}

// reportTTL is how long a word counts that is not renewed. Entries renew theirs a few times
// in that span, so that one lost datagram does not count.
const reportTTL = 4 * time.Second

// Book is what entries have running, by server.
type Book struct {
	servers map[string]*serverLoad
}

// serverLoad is the book of one server.
type serverLoad struct {
	reports map[string]report // by the entry's name
	total   Load
	// lastProgress is when a prompt was last known to have been read, or the first one
	// came to an idle server: since then the server reads on.
	lastProgress time.Time
	downAt       time.Time // when it was last found not to be there
}

// report is what an entry told last.
type report struct {
	incarnation uint64
	sequence    uint64
	load        Load
	receivedAt  time.Time
}

// NewBook returns a book that knows of nothing.
func NewBook() *Book { return &Book{servers: make(map[string]*serverLoad)} }

// Note takes what an entry has running at a server now, in place of what it told
// before. sequence grows with each word of a life: datagrams may overtake each other.
func (b *Book) Note(from Teller, sequence uint64, server string, l Load, now time.Time) {
	s := b.servers[server]
	if s == nil {
		if l == (Load{}) {
			return
		}
		s = &serverLoad{reports: make(map[string]report), lastProgress: now}
		b.servers[server] = s
	}
	if l.Down {
		s.downAt, l.Down = now, false
	}
	last, exists := s.reports[from.Name]
	if exists && (from.Life < last.incarnation || from.Life == last.incarnation && sequence <= last.sequence) {
		return
	}
	if l.Prefill < last.load.Prefill || s.total.Prefill == 0 {
		s.lastProgress = now
	}
	s.total.Running += l.Running - last.load.Running
	s.total.Prefill += l.Prefill - last.load.Prefill
	// An empty word is kept for a while too: an older one may still come.
	s.reports[from.Name] = report{from.Life, sequence, l, now}
}

// Others returns what all entries but one have at a server, and how many prompt tokens
// are still to be read there at a rate in tokens per second.
func (b *Book) Others(entry, server string, rate float64, now time.Time) Load {
	s := b.servers[server]
	if s == nil {
		return Load{}
	}
	s.expire(now)
	own := s.reports[entry].load
	l := Load{Down: !s.downAt.IsZero() && now.Sub(s.downAt) < downTTL, Running: max(s.total.Running-own.Running, 0), Prefill: max(s.total.Prefill-own.Prefill, 0)}
	if l.Prefill > 0 {
		// What the server has processed since is taken off the others' part by its share.
		processed := rate * max(now.Sub(s.lastProgress).Seconds(), 0) * float64(l.Prefill) / float64(s.total.Prefill)
		l.Prefill = max(l.Prefill-int(processed), int(minUnreadFraction*float64(l.Prefill)))
	}
	return l
}

// downTTL is how long a server is taken to be down that was found so. All entries would
// find out one after the other meanwhile; after it the first one tries again.
const downTTL = time.Second

// minUnreadFraction is the part of what was told that counts as not read until the answers come. A
// long prompt is read slower than the rate says, and whoever is sent behind one that was
// taken to be read is late.
const minUnreadFraction = 0.5

// Sweep drops words that were not renewed, and servers of which none is left.
func (b *Book) Sweep(now time.Time) {
	for id, s := range b.servers {
		if s.expire(now); len(s.reports) == 0 && now.Sub(s.downAt) >= downTTL {
			delete(b.servers, id)
		}
	}
}

// expire drops the words of entries that have gone.
func (s *serverLoad) expire(now time.Time) {
	for name, r := range s.reports {
		if now.Sub(r.receivedAt) <= reportTTL {
			continue
		}
		s.total.Running -= r.load.Running
		s.total.Prefill -= r.load.Prefill
		delete(s.reports, name)
	}
}
