package replica

import "time"

// progress is what a leader knows of one other replica.
type progress struct {
	match      uint64 // highest index it has acknowledged as synced
	matchRound uint64 // the latest append sent when match last rose
	next       uint64 // next index to send

	// probing: the point where the logs part is not known; one message at a time.
	probing   bool
	probeSent bool

	inflight        []uint64 // last index of each unacknowledged append, ascending
	appendRequested bool     // send an append even if it is empty
	sentCommit      uint64

	outgoing *outgoingSnapshot

	heartbeatAcked bool          // has answered a heartbeat of this term
	lastAckSent    time.Duration // when the latest heartbeat it has answered was sent
	lastAckRound   uint64

	// lostLog: it has forgotten entries that it had acknowledged.
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

// recordSent records an append that ends in index last.
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

// acknowledge records that everything up to index is synced there. Appends are
// numbered, round is the latest one sent.
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

// startProbe starts again to look for the point where the logs part.
func (p *progress) startProbe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.probeSent = false
	p.inflight = nil
}
