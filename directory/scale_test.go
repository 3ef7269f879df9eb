package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/instance"
)

const modelReplicas = 6

// siteModel is a site after its start: every server has announced itself at one of the
// replicas, and every replica has the records of all servers.
type siteModel struct {
	replicas []*testReplica
	servers  int
}

func newSiteModel(servers int) *siteModel {
	m := &siteModel{servers: servers}
	for i := range modelReplicas {
		m.replicas = append(m.replicas, newTestReplica(fmt.Sprintf("10.0.0.%d:7600", i)))
	}
	m.announce(1, epoch)
	for _, from := range m.replicas {
		changes := from.Since(0, epoch)
		for _, to := range m.replicas {
			to.Merge(from.origin, changes.Servers, nil, epoch)
		}
	}
	return m
}

func (m *siteModel) announce(sequence uint64, now time.Time) {
	for i := range m.servers {
		a := heartbeat(fmt.Sprintf("i-%08x", i), 0, sequence, instance.StateServing)
		a.Address, a.Services, a.Zone = fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250), []string{"chat-pool"}, "dc-zone-a"
		m.replicas[i%modelReplicas].Announce(a, now)
	}
}

func encodedSize(t *testing.T, v any) int {
	data, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return len(data)
}

// A site of 30, 100 and 300 entries with ten servers each starts, and every entry learns the
// servers from every replica. Guards against complete records from each replica to each
// entry, which filled the memory of the replicas and the links of the entries.
func TestBytesOfAStart(t *testing.T) {
	for _, entries := range []int{30, 100, 300} {
		m := newSiteModel(10 * entries)
		source := m.replicas[0]
		records := encodedSize(t, source.Since(0, epoch).Servers)
		statuses, _ := source.StatusesSince(0)
		toEntry := records + (modelReplicas-1)*encodedSize(t, statuses)
		t.Logf("%d entries, %d servers: %d B to each entry; %d B with records from all replicas", entries, m.servers, toEntry, modelReplicas*records)
		require.Less(t, toEntry/m.servers, 150, "bytes for each server")
	}
}

// Heartbeats of 300 to 3,000 servers pass between the replicas for one interval. Guards
// against forwarding complete records, or forwarding what was forwarded.
func TestBytesOfForwardedHeartbeats(t *testing.T) {
	for _, servers := range []int{300, 1000, 3000} {
		m := newSiteModel(servers)
		var seen []uint64
		for _, r := range m.replicas {
			seen = append(seen, r.lastSeq)
		}
		now := epoch.Add(1200 * time.Millisecond)
		m.announce(2, now)
		total := 0
		for i, from := range m.replicas {
			beats, _ := from.HeartbeatsSince(seen[i], nil, now)
			total += encodedSize(t, beats)
			for _, to := range m.replicas {
				if to != from {
					to.MergeHeartbeats(from.origin, beats, nil, now)
				}
			}
		}
		t.Logf("%d servers: %d B an interval to each replica", servers, total)
		require.Less(t, total/servers, 12, "bytes for each heartbeat to each replica")
		for _, r := range m.replicas {
			for _, rec := range r.Servers(now) {
				require.Zero(t, rec.HeartbeatAge)
			}
		}
	}
}
