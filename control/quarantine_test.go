package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/policy/quarantine"
	"savoryreel.example/savoryreel/replica"
)

var quarantineEpoch = time.Unix(1_800_000_000, 0)

// crashed returns the record of a request under which a server has crashed.
func crashed(fingerprint uint64, server string, at time.Time) quarantine.Record {
	return quarantine.Record{Fingerprint: fingerprint, EverCrashed: true, Exposures: []quarantine.Exposure{
		{Server: quarantine.Server{ID: server, Incarnation: 1}, State: quarantine.StateCrashed, At: at},
	}}
}

// commitQuarantine applies a command at a log index.
func commitQuarantine(t *testing.T, m *Machine, index uint64, now time.Time, records ...quarantine.Record) {
	t.Helper()
	c := api.QuarantineCommand{Records: records, Now: now.UnixMilli()}
	_, err := m.Apply(replica.Entry{Index: index, Kind: uint8(api.KindQuarantine), Data: encoded(t, &c)})
	require.NoError(t, err)
}

// fetchQuarantine returns the crashes by request that an entry gets which knows the records up to an
// index, and the index that it has then.
func fetchQuarantine(m *Machine, known uint64) (crashes map[uint64]int, index uint64) {
	crashes = map[uint64]int{}
	for {
		reply := m.Quarantine(known)
		for _, r := range reply.Records {
			crashes[r.Fingerprint] = len(r.Exposures)
		}
		if reply.Index <= known {
			return crashes, known
		}
		known = reply.Index
	}
}

// Guards against a request that has crashed two servers and gets more of them once all entries have
// restarted, or a control replica from its snapshot: the replicas must hold what the entries knew.
func TestQuarantineRecordsOutlastEntriesAndReplicas(t *testing.T) {
	m := NewMachine(nil, nil)
	commitQuarantine(t, m, 3, quarantineEpoch, crashed(1, "a", quarantineEpoch), crashed(2, "a", quarantineEpoch))
	commitQuarantine(t, m, 5, quarantineEpoch, crashed(1, "b", quarantineEpoch))
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	restored := NewMachine(nil, nil)
	require.NoError(t, restored.Restore(snapshot))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot, again)
	for _, machine := range []*Machine{m, restored} {
		crashes, index := fetchQuarantine(machine, 0)
		require.Equal(t, map[uint64]int{1: 2, 2: 1}, crashes)
		require.EqualValues(t, 5, index)
		crashes, _ = fetchQuarantine(machine, 3)
		require.Equal(t, map[uint64]int{1: 2}, crashes, "what an entry knows is not sent again")
	}
}

// Guards against a command that is sent again, through another replica or by several entries, and is
// counted or sent to all entries once more.
func TestQuarantineCommandIsIdempotent(t *testing.T) {
	m := NewMachine(nil, nil)
	record := crashed(1, "a", quarantineEpoch)
	commitQuarantine(t, m, 3, quarantineEpoch, record)
	commitQuarantine(t, m, 4, quarantineEpoch.Add(time.Second), record)
	crashes, index := fetchQuarantine(m, 0)
	require.Equal(t, map[uint64]int{1: 1}, crashes)
	require.EqualValues(t, 4, index)
	crashes, _ = fetchQuarantine(m, 3)
	require.Empty(t, crashes)
}

// Guards against records that an entry never gets since there are many, and against a table that
// grows without bound: expired records go, and of too many those that changed the longest ago.
func TestQuarantineTableIsBoundedAndSentInFull(t *testing.T) {
	m := NewMachine(nil, nil)
	cfg := quarantine.DefaultConfig()
	index, fingerprint := uint64(0), uint64(0)
	commit := func(now time.Time) {
		records := make([]quarantine.Record, api.MaxQuarantineRecords)
		for i := range records {
			records[i] = crashed(fingerprint, fmt.Sprint("s", index), now)
			fingerprint++
		}
		index++
		commitQuarantine(t, m, index, now, records...)
	}
	const commands = 80 // more than fit
	for range commands {
		commit(quarantineEpoch)
	}
	crashes, at := fetchQuarantine(m, 0)
	require.Len(t, crashes, cfg.MaxRecords)
	require.Equal(t, index, at)
	require.Contains(t, crashes, fingerprint-1)
	require.NotContains(t, crashes, uint64(0))
	commit(quarantineEpoch.Add(cfg.Keep))
	crashes, _ = fetchQuarantine(m, 0)
	require.Len(t, crashes, api.MaxQuarantineRecords)
}

// Guards against entries that wait for good for records which no replica can decode.
func TestInvalidQuarantineCommandAdvancesTheIndex(t *testing.T) {
	m := NewMachine(nil, nil)
	_, err := m.Apply(replica.Entry{Index: 9, Kind: uint8(api.KindQuarantine), Data: []byte{0xc1}})
	require.Error(t, err)
	_, index := fetchQuarantine(m, 0)
	require.EqualValues(t, 9, index)
}
