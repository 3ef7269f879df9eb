package room

import "time"

const (
	// shortageGap is the time without a refusal after which a shortage has ended.
	shortageGap = time.Second
	// briefShortage is the age up to which a shortage is taken for a few requests that arrived
	// together.
	briefShortage = 200 * time.Millisecond
	// reactionTime is the time until a loss of servers is noticed and others are ordered.
	reactionTime = time.Second
	// briefPausePart is the part of its objective that a caller pauses in a brief shortage. It
	// leaves enough time for an answer within the objective.
	briefPausePart = 0.25
	// pauseSpread is the largest part that is added at random to a pause, so that callers do not
	// come back together: of the pause in a brief shortage, otherwise of the time from the loss of
	// servers until others serve. As a part of the rest of that time it grows ever smaller, and
	// those who were refused last all come back as the servers begin to serve.
	pauseSpread = 0.25
)

// Shortage records the refusals of one service at one entry, to compute when callers are to come
// back. The zero value has none. It is not safe for concurrent use.
type Shortage struct {
	began   time.Time
	last    time.Time // last refusal
	refused int       // since began
}

// Refuse records a refusal and reports whether a shortage begins with it.
func (s *Shortage) Refuse(now time.Time) (begins bool) {
	if begins = s.last.IsZero() || now.Sub(s.last) > shortageGap; begins {
		s.began, s.refused = now, 0
	}
	s.last = now
	s.refused++
	return begins
}

// Ended reports a shortage that is over: when it began, how long it lasted and how many requests
// were refused. It reports each shortage once.
func (s *Shortage) Ended(now time.Time) (began time.Time, lasted time.Duration, refused int, ended bool) {
	if s.refused == 0 || now.Sub(s.last) <= shortageGap {
		return time.Time{}, 0, 0, false
	}
	began, lasted, refused = s.began, s.last.Sub(s.began), s.refused
	s.refused = 0
	return began, lasted, refused, true
}

// Pause returns how long a refused caller is to pause: until the next servers are expected,
// boot being the time from an order until a server serves, 0 if none are ordered; but in a
// shortage that has just begun only as long as leaves enough time for an answer in time.
// draw is random, in [0, 1).
func (s *Shortage) Pause(objective, boot time.Duration, now time.Time, draw float64) time.Duration {
	pause := time.Duration(briefPausePart * float64(objective))
	span := pause
	if boot > 0 && now.Sub(s.began) > briefShortage {
		span = reactionTime + boot
		pause = max(s.began.Add(span).Sub(now), objective)
	}
	return pause + time.Duration(pauseSpread*draw*float64(span))
}
