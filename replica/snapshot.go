package replica

// outgoingSnapshot is a snapshot on its way to one replica, a chunk at a time.
// It is pinned: a later snapshot does not start the transfer over.
type outgoingSnapshot struct {
	snapshot      Snapshot
	offset        uint64 // of the next chunk
	chunkInflight bool   // a chunk is unanswered
	stalled       bool   // a heartbeat was answered since, and the chunk was not
}

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// startSnapshot begins to send the latest snapshot to a replica that needs
// entries which are no longer in the log.
func (c *Core) startSnapshot(p *progress) {
	p.startProbe(p.next)
	p.appendRequested = false
	p.outgoing = &outgoingSnapshot{snapshot: c.snapshot}
}

func (c *Core) flushSnapshot(id uint64, p *progress) {
	s := p.outgoing
	if s == nil || s.chunkInflight || p.lostLog {
		return
	}
	s.chunkInflight = true
	s.stalled = false
	data := s.snapshot.Data[s.offset:]
	data = data[:min(len(data), c.cfg.MaxMessageBytes)]
	c.send(Message{Type: MsgSnapshot, To: id, Chunk: &SnapshotChunk{
		Meta: s.snapshot.Meta, Offset: s.offset,
		Total: uint64(len(s.snapshot.Data)), Data: data,
	}})
}

// resendStalledChunk runs at each heartbeat answered; a chunk that has been
// passed by two of them was lost.
func (p *progress) resendStalledChunk() {
	s := p.outgoing
	if s == nil {
		return
	}
	s.chunkInflight = s.chunkInflight && !s.stalled
	s.stalled = true
}

func (c *Core) handleSnapshotReply(p *progress, m Message) {
	s := p.outgoing
	if s == nil || m.Index != s.snapshot.Meta.Index || m.Hint > uint64(len(s.snapshot.Data)) {
		return
	}
	s.offset = m.Hint
	s.chunkInflight = false
}

// handleSnapshot takes a chunk. Chunks out of order are dropped and the reply
// names the one wanted.
func (c *Core) handleSnapshot(m Message) {
	c.followLeader(m.From)
	chunk := m.Chunk
	if chunk.Meta.Index <= c.log.commit {
		c.partialSnapshot = nil
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.commit})
		return
	}
	in := c.addChunk(chunk)
	if uint64(len(in.data)) == chunk.Total {
		c.installSnapshot(m.From, Snapshot{Meta: in.meta, Data: in.data})
		return
	}
	c.send(Message{Type: MsgSnapshotReply, To: m.From, Index: in.meta.Index, Hint: uint64(len(in.data))})
}

func (c *Core) addChunk(chunk *SnapshotChunk) *incomingSnapshot {
	in := c.partialSnapshot
	if in == nil || in.meta.Index != chunk.Meta.Index || in.meta.Term != chunk.Meta.Term {
		in = &incomingSnapshot{meta: chunk.Meta}
		c.partialSnapshot = in
	}
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	return in
}

// installSnapshot replaces the log and the state machine's state, unless the log already
// holds what the snapshot stands for.
func (c *Core) installSnapshot(leader uint64, s Snapshot) {
	c.partialSnapshot = nil
	if c.log.matches(s.Meta.Index, s.Meta.Term) {
		c.commitTo(s.Meta.Index)
	} else {
		c.log.restore(s.Meta)
		c.memberships = []membership{{index: s.Meta.Index, members: s.Meta.Members}}
		c.snapshot = s
		c.pendingSnapshot = &s
	}
	c.send(Message{Type: MsgAppendReply, To: leader, Index: s.Meta.Index})
}

// SnapshotMeta describes a snapshot of the state machine as it is after the last
// applied entry.
func (c *Core) SnapshotMeta() SnapshotMeta {
	index := c.log.applied
	term, _ := c.log.term(index)
	last := c.log.lastByKindAt(index)
	return SnapshotMeta{
		Index: index, Term: term,
		Members:    c.membersAt(index).Clone(),
		LastByKind: last.list(),
	}
}

// Compact takes over a snapshot that is on disk and drops the entries before it,
// but for the last ones, at most so many and so many bytes: a replica that lags
// by less is sent entries instead of the whole snapshot.
func (c *Core) Compact(s Snapshot, keepEntries uint64, keepBytes int) {
	c.snapshot = s
	c.log.compact(c.log.retainAfter(min(s.Meta.Index, c.log.stable), keepEntries, keepBytes))
	for len(c.memberships) > 1 && c.memberships[1].index <= s.Meta.Index {
		c.memberships = c.memberships[1:]
	}
}
