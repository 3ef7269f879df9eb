package gateway

import (
	"fmt"
	"time"
)

// recordMisplaced counts a request that is sent to a server without a free slot while another
// candidate has one, by the loads that the choice was based on.
func (o outcomes) recordMisplaced(service string, c *choice) {
	if c.misplaced {
		o.set.GetOrCreateCounter(fmt.Sprintf(`savoryreel_sent_beside_room_total{service=%q}`, service)).Inc()
	}
}

// misplacedFirstByte records how long such a request has waited for its first byte since it was
// sent. Other requests, and bytes after the first, are ignored.
func (o outcomes) misplacedFirstByte(service string, c *choice, now time.Time) {
	if c.misplaced && !c.answered {
		o.set.GetOrCreateHistogram(fmt.Sprintf(`savoryreel_sent_beside_room_wait_seconds{service=%q}`, service)).Update(now.Sub(c.sentAt).Seconds())
	}
}
