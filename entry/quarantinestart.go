package entry

import (
	"context"
	"slices"
	"time"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/quarantine"
)

const (
	// quarantineStartTime is how long after its start an entry fetches the records of requests
	// from others. By then it has received all that they share.
	quarantineStartTime = 10 * time.Second
	// quarantineAloneTime is how long after its start an entry that has not found any other waits
	// for one.
	quarantineAloneTime = 2 * time.Second
	// maxRecordPeers bounds the entries that are asked for a record.
	maxRecordPeers = 2
)

// starting reports whether this entry may lack records that others have.
func (q *guard) starting() bool { return q.now().Sub(q.begun) < quarantineStartTime }

// fetchRecord fetches what other entries know of a request, so that an entry that has just started
// and owns its fingerprint doesn't grant servers which its previous incarnation has granted already.
// It reports false if the request has to wait until another entry is known.
func (q *guard) fetchRecord(ctx context.Context, fingerprint uint64) bool {
	peers := q.peerLinks()
	if len(peers) == 0 {
		return !q.expectsPeers() || q.now().Sub(q.begun) >= quarantineAloneTime
	}
	for _, addr := range peers[:min(maxRecordPeers, len(peers))] {
		callCtx, cancel := context.WithTimeout(ctx, quarantineOwnerTimeout)
		record, err := link.Call[quarantine.Record](callCtx, q.entry.pool, addr, methodQuarantineRecord, fingerprint)
		cancel()
		if err == nil {
			q.merge(record)
			return true
		}
	}
	return true // as without its owner: the loss of others must not stop the requests here
}

// peerLinks returns the link addresses of the other serving entries.
func (q *guard) peerLinks() (addresses []string) {
	for _, m := range q.entry.members.View().Members(instance.RoleEntry) {
		if m.State == instance.StateServing && m.ID != q.entry.cfg.ID {
			addresses = append(addresses, m.LinkAddress)
		}
	}
	return addresses
}

// expectsPeers reports whether the settings name other entries to join.
func (q *guard) expectsPeers() bool {
	return slices.ContainsFunc(q.entry.cfg.Seeds, func(addr string) bool { return addr != q.entry.cfg.LinkListen })
}

// handleRecord returns what this entry knows of a request.
func (q *guard) handleRecord(_ context.Context, _ link.PeerInfo, fingerprint uint64) (quarantine.Record, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record, _ := q.set.Record(fingerprint)
	return record, nil
}
