package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/retry"
)

// repeatUse counts, by service, the first attempts, the repeats that the budget granted or
// refused, and the repeated sends of this entry.
//
// The budget applies to all entries together. If a service gets too many repeats, the sums
// over the lines of all entries show whether more were granted than the budget allows, or
// more were sent than granted.
type repeatUse struct {
	log *slog.Logger
	set *metrics.Set

	mu       sync.Mutex
	services map[string]*serviceRepeats
}

// serviceRepeats holds the counts of a service since its last line.
type serviceRepeats struct {
	firsts  int
	granted int
	refused int
	sent    int // sends of a request beyond its first
}

func newRepeatUse(log *slog.Logger, set *metrics.Set) *repeatUse {
	return &repeatUse{log: log, set: set, services: make(map[string]*serviceRepeats)}
}

// update changes a service's counts under the lock.
func (u *repeatUse) update(service string, change func(*serviceRepeats)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.services[service]
	if use == nil {
		use = &serviceRepeats{}
		u.services[service] = use
	}
	change(use)
}

func (u *repeatUse) recordFirst(service string) {
	u.update(service, func(s *serviceRepeats) { s.firsts++ })
}

// recordVerdict counts a decision of the retry policy.
func (u *repeatUse) recordVerdict(service string, v retry.Verdict) {
	u.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_retry_verdicts_total{service=%q,reason=%q}`, service, v.Reason)).Inc()
	u.update(service, func(s *serviceRepeats) {
		if v.Go {
			s.granted++
		} else {
			s.refused++
		}
	})
}

func (u *repeatUse) recordRepeat(service string) {
	u.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_repeats_sent_total{service=%q}`, service)).Inc()
	u.update(service, func(s *serviceRepeats) { s.sent++ })
}

// logUse logs the counts of each service that had repeats, and resets all counts.
func (u *repeatUse) logUse() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for service, s := range u.services {
		if s.granted+s.refused+s.sent > 0 {
			event.Log(context.Background(), u.log, slog.LevelInfo, event.RepeatsUsed, slog.String("service", service),
				slog.Int("firsts", s.firsts), slog.Int("granted", s.granted), slog.Int("refused", s.refused), slog.Int("sent", s.sent))
		}
		delete(u.services, service)
	}
}
