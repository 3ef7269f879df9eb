package replica

// outgoingSnapshot is a snapshot being sent to a replica, one chunk at a time. A
// newer snapshot does not replace it during the transfer.
type outgoingSnapshot struct {
	snapshot      Snapshot
	offset        uint64 // of the next chunk
	chunkInflight bool   // the latest chunk is unanswered
	stalled       bool   // a heartbeat was acknowledged since the chunk was sent
}

// incomingSnapshot collects the chunks of a snapshot being received.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// startSnapshot starts sending the latest snapshot to a replica that needs
// compacted entries.
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

// resendStalledChunk is called at each acknowledged heartbeat. A chunk that is
// still unanswered at the second one is considered lost and sent again.
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

// handleSnapshot adds a chunk to the snapshot being received and installs the
// snapshot once it is complete. Chunks out of order are dropped; the reply holds
// the offset of the next one.
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

// installSnapshot replaces the log and the state of the state machine by s. If the
// log holds the snapshot's last entry, it only advances the commit index.
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

// SnapshotMeta returns the metadata for a snapshot of the state machine after the
// last applied entry.
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

// Compact sets the latest snapshot, which must be on disk, and drops the entries
// that it covers. It keeps the last ones, at most keepEntries and keepBytes, so
// that a replica slightly behind is sent entries instead of the snapshot.
func (c *Core) Compact(s Snapshot, keepEntries uint64, keepBytes int) {
	c.snapshot = s
	c.log.compact(c.log.retainAfter(min(s.Meta.Index, c.log.stable), keepEntries, keepBytes))
	for len(c.memberships) > 1 && c.memberships[1].index <= s.Meta.Index {
		c.memberships = c.memberships[1:]
	}
}
