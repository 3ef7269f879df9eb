package replica

// Ready is the work that a Core requests. The caller must, in this order:
//
//  1. send Early,
//  2. install Snapshot,
//  3. sync HardState and Entries if MustSync,
//  4. send Messages,
//  5. restore Snapshot into the state machine and apply Committed,
//  6. call Advance.
//
// A message that is sent before the sync it depends on would acknowledge an entry
// or a vote that a crash can still undo: acknowledged entries could be lost.
type Ready struct {
	Early     []Message // a leader's appends and heartbeats, which need not wait for its own sync
	Snapshot  *Snapshot // replaces the log and the state machine's state
	HardState HardState
	Entries   []Entry // to be written; they replace all existing entries from the first one's index on
	MustSync  bool
	Messages  []Message
	Committed []Entry
	Reads     []ReadState // can be served once Committed is applied
}

// ReadState is the result of ReadIndex: once the entry at Index is applied, the
// state machine includes everything acknowledged before the read was requested.
// That entry is in Committed or was applied earlier.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Ready returns the next work; ok is false if there is none. The caller must call
// Advance before it calls Ready again.
func (c *Core) Ready() (rd Ready, ok bool) {
	if c.role == Leader {
		c.flushHeartbeat()
		c.flushAppends()
		c.completeReads()
	}
	rd = Ready{
		Snapshot:  c.pendingSnapshot,
		HardState: HardState{Term: c.hardState.Term, Vote: c.hardState.Vote, Commit: c.log.commit},
		Entries:   c.log.entriesAfter(c.log.stable),
		Committed: c.log.entriesBetween(c.log.applied, c.log.commit),
		Reads:     c.readStates,
	}
	termOrVoteChanged := c.hardState.Term != c.syncedHardState.Term || c.hardState.Vote != c.syncedHardState.Vote
	rd.MustSync = termOrVoteChanged || len(rd.Entries) > 0
	rd.Early, rd.Messages = c.splitMessages(termOrVoteChanged)
	c.messages = nil
	c.readStates = nil
	ok = rd.MustSync || rd.Snapshot != nil || len(rd.Early)+len(rd.Messages)+len(rd.Committed)+len(rd.Reads) > 0
	return rd, ok
}

// splitMessages separates the messages that may be sent before the sync. A
// leader's appends may be sent while its own disk writes, because its own
// acknowledgement counts only after Advance. After a change of term or vote all
// messages wait for the sync.
func (c *Core) splitMessages(termOrVoteChanged bool) (beforeSync, afterSync []Message) {
	if termOrVoteChanged {
		return nil, c.messages
	}
	for _, m := range c.messages {
		if m.Type == MsgAppend || m.Type == MsgHeartbeat {
			beforeSync = append(beforeSync, m)
			continue
		}
		afterSync = append(afterSync, m)
	}
	return beforeSync, afterSync
}

// Advance confirms that the work of rd is done.
func (c *Core) Advance(rd Ready) {
	c.pendingSnapshot = nil
	if rd.MustSync {
		c.syncedHardState = rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		c.log.stable = rd.Entries[n-1].Index
	}
	if n := len(rd.Committed); n > 0 {
		c.log.applied = rd.Committed[n-1].Index
	}
	if c.role == Leader {
		c.maybeCommit()
	}
}
