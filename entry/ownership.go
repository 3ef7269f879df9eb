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

// quarantineAdmitRequest asks the owner of a request's fingerprint for a verdict. It is sent
// for each request, so Record is omitted unless it has exposures.
type quarantineAdmitRequest struct {
	Fingerprint uint64             `msgpack:"f"`
	Record      *quarantine.Record `msgpack:"r,omitempty"`
	Server      quarantine.Server  `msgpack:"s"` // the server that routing has chosen
	Kind        contract.Kind      `msgpack:"k"` // of the pool whose servers can run the request
	Pool        string             `msgpack:"p"`
}

// quarantineAdmitReply is the owner's verdict. Server is omitted if it is the requested one,
// and Record unless the request has crashed a server.
type quarantineAdmitReply struct {
	Action quarantine.Action  `msgpack:"a"`
	Reason quarantine.Reason  `msgpack:"y"`
	Grant  uint64             `msgpack:"g,omitempty"`
	Server *quarantine.Server `msgpack:"s,omitempty"`
	Until  int64              `msgpack:"u,omitempty"` // Unix milliseconds
	Record *quarantine.Record `msgpack:"r,omitempty"`
}

// handleAdmit returns the verdict as the owner of a fingerprint.
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

// verdict converts the reply to the verdict of the query, at the entry that sent the request.
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

// membersChanged marks the views as stale after a change of entries or servers. They are
// rebuilt at the next decision, since hundreds of changes arrive within a second when a data
// centre fails.
func (q *guard) membersChanged() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.viewsStale = true
}

// rebuildViews builds the view of each pool from the membership. The lock is held.
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

// minRebuildInterval bounds the processor time for rebuilding views while many changes
// arrive. Entries receive a change at times that differ by more than this interval.
const minRebuildInterval = 100 * time.Millisecond

// view returns the view of one pool, after rebuilding stale ones. It is empty for an unknown
// pool. The lock is held.
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

// decide returns the verdict of this entry's own records or, if another entry owns the
// fingerprint, that of the owner.
func (q *guard) decide(ctx context.Context, key laneKey, fingerprint uint64, server quarantine.Server) quarantine.Verdict {
	if q.starting() && !q.fetchRecord(ctx, fingerprint) {
		return quarantine.Verdict{Action: quarantine.ActionWait, Reason: quarantine.ReasonNoOwner}
	}
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

// decideWithoutOwner returns the verdict if the owner is unreachable. A suspect waits, since
// the owner may have started a trial on another server. Other requests run; otherwise the
// loss of an entry would delay the requests whose fingerprints it owned for the seconds until
// the membership detects the loss. While owners are unreachable, a request that crashes
// servers can crash one more than the usual two for each entry that receives it.
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

// broadcast publishes a record to all entries, and to the control replicas for those that start later.
func (q *guard) broadcast(r quarantine.Record) {
	q.publisher.add(r)
	q.share(r)
}

func (q *guard) broadcastAll(list []quarantine.Record) {
	for _, r := range list {
		q.broadcast(r)
	}
}

// share publishes a record to all entries.
func (q *guard) share(r quarantine.Record) {
	body, err := records.EncodeQuarantine(r)
	if err != nil {
		return // unreachable: numbers, strings and times always encode
	}
	q.entry.members.Put(records.QuarantineKey(r.Fingerprint), uint64(q.now().UnixMilli()), body)
}

func (q *guard) merge(r quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Part {
		q.parts.merge(r, q.now())
		return
	}
	q.set.Merge(r, q.now())
}
