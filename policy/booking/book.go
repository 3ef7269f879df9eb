package booking

import "time"

// Load is the load of a server, or the part of it that one entry has placed there.
type Load struct {
	Running int // requests, running or waiting
	Prefill int // prompt tokens of the requests that have no first token yet
	// UrgentPending and UrgentPrefill are the requests without a first token that can still
	// meet their objective, and their prompt tokens.
	UrgentPending int
	UrgentPrefill int
	// Rate is the prompt tokens per second that the server was seen to read: of one request in a
	// report, the median of the last ones otherwise; 0: not known.
	Rate int
	// Incarnation is the start of the server that Rate was measured on.
	Incarnation uint64
	// Down is set if an entry has just found the server unreachable.
	Down bool
}

func (l Load) plus(o Load) Load {
	l.Running += o.Running
	l.Prefill += o.Prefill
	l.UrgentPending += o.UrgentPending
	l.UrgentPrefill += o.UrgentPrefill
	return l
}

func (l Load) minus(o Load) Load {
	l.Running -= o.Running
	l.Prefill -= o.Prefill
	l.UrgentPending -= o.UrgentPending
	l.UrgentPrefill -= o.UrgentPrefill
	return l
}

func (l Load) atLeastZero() Load {
	l.Running = max(l.Running, 0)
	l.Prefill = max(l.Prefill, 0)
	l.UrgentPending = max(l.UrgentPending, 0)
	l.UrgentPrefill = max(l.UrgentPrefill, 0)
	return l
}

// Reporter identifies one incarnation of an entry. The reports of a new incarnation
// replace those of the one before.
type Reporter struct {
	Name        string
	Incarnation uint64
}

// reportTTL is how long a report is valid unless it is renewed. Entries renew several
// times within it, so that the loss of one datagram has no effect.
const reportTTL = 4 * time.Second

// LoadTable holds the load that entries have reported, by server.
type LoadTable struct {
	servers map[string]*serverLoad
}

// serverLoad is the reported load of one server.
type serverLoad struct {
	reports map[string]report // by name of the entry
	total   Load
	rates   rates
	// lastProgress is when a report last lowered the unread prompt tokens, or added the
	// first ones to an idle server. The server is assumed to have read prompts since.
	lastProgress time.Time
	downAt       time.Time // when an entry last found the server unreachable
}

// report is the last report of an entry.
type report struct {
	incarnation uint64
	sequence    uint64
	load        Load
	receivedAt  time.Time
}

// NewLoadTable returns an empty table.
func NewLoadTable() *LoadTable { return &LoadTable{servers: make(map[string]*serverLoad)} }

// Record replaces what an entry last reported for a server. sequence must grow with each
// report of an incarnation, since datagrams can arrive out of order: an older report is
// dropped, except that its Down still counts.
func (b *LoadTable) Record(from Reporter, sequence uint64, server string, l Load, now time.Time) {
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
	if exists && (from.Incarnation < last.incarnation || from.Incarnation == last.incarnation && sequence <= last.sequence) {
		return
	}
	s.rates.add(l.Rate, l.Incarnation, now)
	l.Rate, l.Incarnation = 0, 0
	if l.Prefill < last.load.Prefill || s.total.Prefill == 0 {
		s.lastProgress = now
	}
	s.total = s.total.plus(l).minus(last.load)
	// Empty reports are stored too, so that an older one that arrives later is dropped.
	s.reports[from.Name] = report{from.Incarnation, sequence, l, now}
}

// LoadOfOthers returns the load that all entries but one have placed on a server. Prefill
// is reduced by what the server is estimated to have read since the last progress, at a
// rate in tokens per second.
func (b *LoadTable) LoadOfOthers(entry, server string, rate float64, now time.Time) Load {
	s := b.servers[server]
	if s == nil {
		return Load{}
	}
	s.expire(now)
	own := s.reports[entry].load
	l := s.total.minus(own).atLeastZero()
	if measured := s.rates.estimate(now); measured > 0 {
		rate = float64(measured)
		l.Rate, l.Incarnation = measured, s.rates.incarnation
	}
	l.Down = !s.downAt.IsZero() && now.Sub(s.downAt) < downTTL
	if l.Prefill > 0 {
		// Only the others' fraction of the tokens read counts.
		processed := rate * max(now.Sub(s.lastProgress).Seconds(), 0) * float64(l.Prefill) / float64(s.total.Prefill)
		l.Prefill = max(l.Prefill-int(processed), int(minUnreadFraction*float64(l.Prefill)))
		l.UrgentPrefill = max(l.UrgentPrefill-int(processed), int(minUnreadFraction*float64(l.UrgentPrefill)))
	}
	return l
}

// downTTL is how long a server counts as down after an entry has found it unreachable. It
// saves the other entries from failing too; afterwards the first of them tries again.
const downTTL = time.Second

// minUnreadFraction is the fraction of the reported prompt tokens that counts as unread
// until the next report. Long prompts are read more slowly than the rate says, and a
// request placed behind one that was taken to be read would be late.
const minUnreadFraction = 0.5

// Sweep drops expired reports, and servers that have no reports and are not down.
func (b *LoadTable) Sweep(now time.Time) {
	for id, s := range b.servers {
		if s.expire(now); len(s.reports) == 0 && s.rates.expired(now) && now.Sub(s.downAt) >= downTTL {
			delete(b.servers, id)
		}
	}
}

// expire drops the reports that were not renewed within reportTTL.
func (s *serverLoad) expire(now time.Time) {
	for name, r := range s.reports {
		if now.Sub(r.receivedAt) <= reportTTL {
			continue
		}
		s.total = s.total.minus(r.load)
		delete(s.reports, name)
	}
}
