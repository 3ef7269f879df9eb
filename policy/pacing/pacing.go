// Package pacing limits how often a control replica reports changes to the processes that
// wait for them. It answers the load of a start of the whole site, and of a zone that is
// reclaimed: thousands of backend servers announce a change one after the other, and each
// change would wake hundreds of waiting entries.
//
// A watcher that has not been sent a change recently gets the next one at once. In a series
// of changes each watcher gets one report per interval, with all changes since the last. The
// interval grows with the number of watchers, so that the reports of all of them stay within
// a rate. The rate is higher for urgent changes: until an entry knows that a server leaves,
// its requests there are cut off, while a new server that is known a second later only idles.
package pacing

import "time"

// watcherTTL is the time since its last report after which a watcher no longer counts.
const watcherTTL = 10 * time.Second

// Rates are the reports a second over all watchers during a long series of changes.
type Rates struct {
	Urgent  float64 // while some of the changes are urgent
	Routine float64
}

// Pacer decides when each watcher may get its next report. It is not safe for concurrent use.
type Pacer struct {
	rates     Rates
	reported  map[string]time.Time // last report with a change, by watcher
	expiredAt time.Time
}

// New returns a Pacer that keeps to the rates, which must be positive.
func New(rates Rates) *Pacer {
	return &Pacer{rates: rates, reported: make(map[string]time.Time)}
}

// Delay returns how long a watcher's next report has to wait; 0 means that it is due. urgent
// says whether it has an urgent change to report.
func (p *Pacer) Delay(watcher string, urgent bool, now time.Time) time.Duration {
	last, known := p.reported[watcher]
	if !known {
		return 0
	}
	return max(last.Add(p.interval(urgent)).Sub(now), 0)
}

// interval returns the time between two reports to a watcher.
func (p *Pacer) interval(urgent bool) time.Duration {
	perSecond := p.rates.Routine
	if urgent {
		perSecond = p.rates.Urgent
	}
	return time.Duration(float64(len(p.reported)) / perSecond * float64(time.Second))
}

// Reported records that a watcher is being sent a report with a change.
func (p *Pacer) Reported(watcher string, now time.Time) {
	p.expire(now)
	p.reported[watcher] = now
}

// expire drops watchers without a recent report, at most once per watcherTTL.
func (p *Pacer) expire(now time.Time) {
	if now.Sub(p.expiredAt) < watcherTTL {
		return
	}
	p.expiredAt = now
	for watcher, last := range p.reported {
		if now.Sub(last) >= watcherTTL {
			delete(p.reported, watcher)
		}
	}
}
