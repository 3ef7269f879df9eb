package route

import "time"

// UrgentWork is the part of a server's work that can still meet its objective: requests
// without a first token and their uncached prompt tokens. Servers admit such requests before
// those that are late.
type UrgentWork struct {
	Pending int
	Tokens  int
}

const (
	// slotTimeSmoothing is the weight of a request in the moving average of the time from first
	// token to end.
	slotTimeSmoothing = 0.02
	initialSlotTime   = 500 * time.Millisecond
	// minSlotTime is the shortest time from first token to end that is learned from. An answer
	// that arrives whole has its first token at its end, and does not show how long it held a slot.
	minSlotTime = 10 * time.Millisecond
)

// SetUrgency records whether a started request can meet its objective. An attempt without it
// counts as neither urgent nor late.
func (r *Router) SetUrgency(a *Attempt, urgent bool, now time.Time) {
	s := r.serverOf(a)
	if s == nil || !a.awaitsFirstToken {
		return
	}
	a.urgent, a.late = urgent, !urgent
	if !urgent {
		return
	}
	a.expectedFirstToken = firstTokenOverhead + r.urgentWait(s, a.uncachedTokens, s.load()-1, now)
	a.expectedAtServiceRate = r.atServiceRate(s, a.expectedFirstToken)
	s.ownUrgent.Pending++
	s.ownUrgent.Tokens += a.uncachedTokens
}

// endUrgent removes an attempt that has its first token, or has ended, from the urgent work.
func (s *server) endUrgent(a *Attempt) {
	if !a.urgent {
		return
	}
	a.urgent = false
	s.ownUrgent.Pending--
	s.ownUrgent.Tokens -= a.uncachedTokens
}

// OwnUrgentWork returns this entry's urgent work on a server.
func (r *Router) OwnUrgentWork(id string) UrgentWork {
	if slot, ok := r.index.slotByID[id]; ok && slot < len(r.servers) {
		return r.servers[slot].ownUrgent
	}
	return UrgentWork{}
}

// UpdateUrgentLoad sets the urgent part of the load of other entries that UpdateLoad has just set.
func (r *Router) UpdateUrgentLoad(id string, work UrgentWork, now time.Time) {
	if slot, ok := r.index.slotByID[id]; ok && slot < len(r.servers) && r.servers[slot].id != "" {
		s := &r.servers[slot]
		s.othersUrgent, s.othersUrgentPending = backlog{float64(work.Tokens), now}, work.Pending
	}
}

// urgentWait estimates the time to the first token of a request that can meet its objective,
// on a server with this load besides: the prefill of urgent work, and if no slot is free the
// time until one is free for it.
func (r *Router) urgentWait(s *server, uncached int, load float64, now time.Time) time.Duration {
	rate := r.rateOf(s)
	tokens := float64(uncached+s.ownUrgent.Tokens) + s.othersUrgent.remaining(now, rate)
	use := (load + 1) / s.slots
	wait := tokens/rate + use*r.cfg.BusyCost.Seconds()
	if use > 1 {
		ahead := float64(s.ownUrgent.Pending + s.othersUrgentPending)
		wait += (ahead + 1) * r.currentSlotTime().Seconds() / s.slots
	}
	return seconds(wait)
}

func (r *Router) currentSlotTime() time.Duration {
	if r.slotTime == 0 {
		return initialSlotTime
	}
	return r.slotTime
}

// learnSlotTime adds the time from first token to end of a request to the moving average.
func (r *Router) learnSlotTime(a *Attempt, now time.Time) {
	if held := now.Sub(a.firstTokenAt); held >= minSlotTime {
		r.slotTime = r.currentSlotTime() + time.Duration(slotTimeSmoothing*float64(held-r.currentSlotTime()))
	}
}
