package entry

import (
	"context"
	"time"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/records"
)

// askMessage passes a request's fingerprint to its owner with what is known. The
// record goes along only where it holds something: most requests have run
// nowhere yet, and entries ask this for each of them.
type quarantineAdmitRequest struct {
	Fingerprint uint64             `msgpack:"f"`
	Record      *quarantine.Record `msgpack:"r,omitempty"`
	Server      quarantine.Server  `msgpack:"s"` // where routing would send it
	Kind        contract.Kind      `msgpack:"k"` // of the pool whose servers can run it
	Pool        string             `msgpack:"p"`
}

// askReply is the owner's verdict. Server and Record go along only where they
// differ from what the asking entry knows or must be told.
type quarantineAdmitReply struct {
	Action quarantine.Action  `msgpack:"a"`
	Reason quarantine.Reason  `msgpack:"y"`
	Grant  uint64             `msgpack:"g,omitempty"`
	Server *quarantine.Server `msgpack:"s,omitempty"`
	Until  int64              `msgpack:"u,omitempty"` // Unix milliseconds
	Record *quarantine.Record `msgpack:"r,omitempty"`
}

// answer decides as the owner of a fingerprint.
func (q *guard) handleAdmit(_ context.Context, _ link.PeerInfo, m quarantineAdmitRequest) (quarantineAdmitReply, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if m.Record != nil {
		q.set.Merge(*m.Record, now)
	}
	v := q.set.Admit(quarantine.Query{Now: now, Fingerprint: m.Fingerprint, Server: m.Server, View: q.view(laneKey{m.Kind, m.Pool})})
	reply := quarantineAdmitReply{Action: v.Action, Reason: v.Reason, Grant: v.Grant}
	if v.Server != m.Server {
		reply.Server = &v.Server
	}
	if !v.Until.IsZero() {
		reply.Until = v.Until.UnixMilli()
	}
	if v.Record.EverCrashed {
		reply.Record = &v.Record
	}
	return reply, nil
}

// verdict restores the owner's verdict at the entry that asked.
func (r *quarantineAdmitReply) verdict(query quarantine.Query) quarantine.Verdict {
	v := quarantine.Verdict{Action: r.Action, Reason: r.Reason, Server: query.Server, Grant: r.Grant}
	if r.Server != nil {
		v.Server = *r.Server
	}
	if r.Until != 0 {
		v.Until = time.UnixMilli(r.Until)
	}
	switch {
	case r.Record != nil:
		v.Record = *r.Record
	case r.Grant != 0:
		trial := quarantine.Exposure{Server: v.Server, Grant: r.Grant, State: quarantine.StateTrial, At: query.Now}
		v.Record = quarantine.Record{Fingerprint: query.Fingerprint, Exposures: []quarantine.Exposure{trial}}
	default:
		v.Record.Fingerprint = query.Fingerprint
	}
	return v
}

// membersChanged notes that an entry or a server came or went. Who owns what is
// worked out at the next question: when a data centre goes, hundreds of changes
// come within a second, and each would otherwise be worked out for nothing.
func (q *guard) membersChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.viewsStale = true
}

// rebuild works out who owns what. The lock is held; the view takes none.
func (q *guard) rebuildViews() {
	var entries []string
	for _, m := range q.entry.members.View().Members(instance.RoleEntry) {
		if m.State == instance.StateServing {
			entries = append(entries, m.ID)
		}
	}
	pools := map[laneKey][]quarantine.Server{}
	for _, s := range q.entry.members.View().AllServers() {
		if s.State != instance.StateServing {
			continue
		}
		for _, key := range laneKeysOf(s) {
			pools[key] = append(pools[key], quarantine.Server{ID: s.ID, Incarnation: s.Incarnation})
		}
	}
	views := make(map[laneKey]*quarantine.View, len(pools))
	for key, servers := range pools {
		views[key] = quarantine.NewView(q.entry.cfg.ID, entries, servers)
	}
	q.views, q.viewsStale = views, false
}

// rebuildEvery bounds how often it is worked out who owns what: 2 ms each at 370
// entries, so 2 in 100 of a core while a data centre goes. Entries differ by more
// than that in when they hear of a change.
const minRebuildInterval = 100 * time.Millisecond

// view is the picture of one pool. The lock is held.
func (q *guard) view(key laneKey) *quarantine.View {
	if now := q.now(); q.viewsStale && now.Sub(q.viewsBuiltAt) >= minRebuildInterval {
		q.rebuildViews()
		q.viewsBuiltAt = now
	}
	if v, known := q.views[key]; known {
		return v
	}
	return quarantine.NewView(q.entry.cfg.ID, nil, nil)
}

// decide asks this entry's own records and, where another entry owns the
// fingerprint, that one.
func (q *guard) decide(ctx context.Context, key laneKey, fingerprint uint64, server quarantine.Server) quarantine.Verdict {
	query := quarantine.Query{Now: q.now(), Fingerprint: fingerprint, Server: server}
	v := q.admit(key, query)
	if v.Action != quarantine.ActionPass {
		return v
	}
	m, known := q.entry.members.View().Member(v.Owner)
	if !known {
		return q.decideWithoutOwner(key, query, v)
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineOwnerTimeout)
	defer cancel()
	msg := quarantineAdmitRequest{Fingerprint: fingerprint, Server: server, Kind: key.kind, Pool: key.name}
	if len(v.Record.Exposures) > 0 {
		msg.Record = &v.Record
	}
	reply, err := link.Call[quarantineAdmitReply](ctx, q.entry.pool, m.LinkAddress, methodQuarantineAdmit, msg)
	if err != nil || reply.Action == quarantine.ActionPass {
		return q.decideWithoutOwner(key, query, v)
	}
	granted := reply.verdict(query)
	q.merge(granted.Record)
	return granted
}

// unasked decides where the owner cannot be reached. A suspect waits: its owner
// may have a trial open elsewhere. A request that nothing speaks against runs:
// else each loss of an entry would hold up the requests that it owned until the
// others have noticed, some seconds in which callers of a healthy system wait.
// While owners are out of reach, a request that crashes servers can take one
// more than two for each entry that it comes through.
func (q *guard) decideWithoutOwner(key laneKey, query quarantine.Query, v quarantine.Verdict) quarantine.Verdict {
	if v.Record.EverCrashed {
		query.Unreachable = true
		return q.admit(key, query)
	}
	return quarantine.Verdict{Action: quarantine.ActionRun, Reason: quarantine.ReasonNoSuspicion, Server: query.Server}
}

func (q *guard) admit(key laneKey, query quarantine.Query) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	query.View = q.view(key)
	return q.set.Admit(query)
}

// spread gives a record to all entries.
func (q *guard) broadcast(r quarantine.Record) {
	body, err := records.EncodeQuarantine(r)
	if err != nil {
		return // numbers, strings and times always encode
	}
	q.entry.members.Put(records.QuarantineKey(r.Fingerprint), uint64(q.now().UnixMilli()), body)
}

func (q *guard) merge(r quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Merge(r, q.now())
}
