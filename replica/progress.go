package replica

import "time"

// progress is the leader's view of another replica.
type progress struct {
	match      uint64 // highest index acknowledged as synced
	matchRound uint64 // lastAppendRound of the leader when match last rose
	next       uint64 // index of the next entry to send

	// probing is set while the last matching entry is unknown. Only one append is
	// sent at a time then; probeSent is set while it is unanswered.
	probing   bool
	probeSent bool

	inflight        []uint64 // last index of each unacknowledged append, ascending
	appendRequested bool     // send an append even if it is empty
	sentCommit      uint64   // commit index in the latest append

	outgoing *outgoingSnapshot // nil unless a snapshot is being sent

	heartbeatAcked      bool          // whether it has acknowledged a heartbeat of this term
	ackedHeartbeatSent  time.Duration // when the latest heartbeat that it has acknowledged was sent
	ackedHeartbeatRound uint64        // round of that heartbeat

	// lostLog is set once the replica lacks entries that it had acknowledged.
	lostLog bool
}

// canSend reports whether another append may be sent.
func (p *progress) canSend(maxInflight int) bool {
	if p.lostLog || p.outgoing != nil {
		return false
	}
	if p.probing {
		return !p.probeSent
	}
	return len(p.inflight) < maxInflight
}

// recordSent records an append of so many entries, the last one at index last.
func (p *progress) recordSent(last uint64, entries int) {
	p.appendRequested = false
	if p.probing {
		p.probeSent = true
		return
	}
	if entries > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acknowledge records that the replica has synced everything up to index. round is
// the number of the latest append sent.
func (p *progress) acknowledge(index, round uint64) {
	if index > p.match {
		p.match = index
		p.matchRound = round
	}
	p.next = max(p.next, p.match+1)
	p.probeSent = false
	p.probing = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// startProbe searches for the last matching entry again, from next-1 down.
func (p *progress) startProbe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.probeSent = false
	p.inflight = nil
}
