package control

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/link"
	"savoryreel.example/savoryreel/policy/admit"
	"savoryreel.example/savoryreel/replica"
)

func encoded(t testing.TB, v any) []byte {
	t.Helper()
	enc, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return enc
}

func testChange() contract.Change {
	return contract.Change{
		ID: "c1", By: "op", At: time.Unix(1_800_000_000, 0).UTC(), Kind: contract.ChangeApply,
		Catalogue: &contract.Catalogue{Workspaces: []contract.Workspace{{
			Name: "shop", Owner: "team", Class: contract.ClassStandard, Weight: 1, Keys: []contract.KeyHash{contract.HashKey("key")},
		}}},
	}
}

func testCommand() ledger.Command {
	return ledger.Command{Op: ledger.OpBegin, Key: ledger.Key{Workspace: "shop", Value: "k1"}, Fingerprint: 1, RequestID: "r1-1", Now: 1}
}

// filledMachine returns a Machine with one catalogue version and one ledger record.
func filledMachine(t *testing.T) *Machine {
	t.Helper()
	m := NewMachine(nil, nil)
	result, err := m.Apply(replica.Entry{Index: 4, Term: 2, Kind: uint8(api.KindCatalogue), Data: encoded(t, testChange())})
	require.NoError(t, err)
	require.Equal(t, contract.CodeAccepted, result.(contract.Result).Code)
	_, err = m.Apply(replica.Entry{Index: 5, Term: 2, Kind: uint8(api.KindLedger), Data: encoded(t, testCommand())})
	require.NoError(t, err)
	return m
}

// Guards against a snapshot that loses state: a recorded call would run a second time,
// or entries would wait for a catalogue index that this replica never reaches. Fails
// if Snapshot or Restore omits the catalogue, its index, its first term or the ledger.
func TestSnapshotRestoresEverything(t *testing.T) {
	m := filledMachine(t)
	enc, err := m.Snapshot()
	require.NoError(t, err)
	var notified []uint64
	restored := NewMachine(func(r api.CatalogueReply) { notified = append(notified, r.Index) }, nil)
	require.NoError(t, restored.Restore(enc))
	require.Equal(t, m.Catalogue(0), restored.Catalogue(0))
	require.Equal(t, m.History(9), restored.History(9))
	require.Equal(t, m.FirstCatalogueTerm(), restored.FirstCatalogueTerm())
	require.Equal(t, []uint64{4}, notified)
	encAgain, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, enc, encAgain)
	_, records := restored.Counts()
	require.Equal(t, 1, records)
}

// Guards against log entries of an unknown kind or with invalid data that change the
// state, and against a catalogue index that stays below the index of such an entry:
// every entry's catalogue would then count as outdated. Fails without
// advanceCatalogueIndex in applyCatalogueChange.
func TestInvalidEntriesChangeOnlyCatalogueIndex(t *testing.T) {
	m := filledMachine(t)
	before, err := m.Snapshot()
	require.NoError(t, err)
	for _, e := range []replica.Entry{
		{Index: 6, Kind: 99, Data: encoded(t, testChange())},
		{Index: 7, Kind: uint8(api.KindLedger), Data: []byte{0xc1}},
		{Index: 8, Kind: uint8(api.KindLedger)},
	} {
		_, err := m.Apply(e)
		require.Error(t, err)
		after, err := m.Snapshot()
		require.NoError(t, err)
		require.Equal(t, before, after)
	}
	want := m.Catalogue(0)
	_, err = m.Apply(replica.Entry{Index: 9, Kind: uint8(api.KindCatalogue), Data: []byte{0xc1}})
	require.Error(t, err)
	want.Index = 9
	require.Equal(t, want, m.Catalogue(0))
	require.False(t, m.Catalogue(4).Unchanged)
	require.Error(t, m.Restore([]byte{0xc1}))
	require.Equal(t, want, m.Catalogue(0), "an invalid snapshot must not change the state")
}

// fakeLease returns the terms from HoldsLease one after the other, the last one
// repeatedly.
type fakeLease struct {
	terms []int64 // negative: the term without a lease
}

func (l *fakeLease) HoldsLease() (uint64, time.Time, bool) {
	term := l.terms[0]
	if len(l.terms) > 1 {
		l.terms = l.terms[1:]
	}
	return uint64(max(term, -term)), time.Time{}, term > 0
}

// Guards against a replaced leader that still grants shares: together with those of
// its successor they would exceed a workspace's limit. It must also refuse if it lost
// its lease during the decision. Fails without either check in limitLeases.report.
func TestLimitLeasesRequireLeaderLease(t *testing.T) {
	for _, c := range []struct {
		terms   []int64
		granted bool
	}{
		{[]int64{2}, true},
		{[]int64{-2}, false},
		{[]int64{2, -2}, false},
		{[]int64{2, 3}, false},
		{[]int64{-2, 2}, false},
	} {
		l := &limitLeases{leader: &fakeLease{terms: c.terms}, machine: filledMachine(t), maxEntries: 3, now: func() time.Time { return time.Unix(1_800_000_000, 0) }}
		reply, err := l.report(context.Background(), link.PeerInfo{}, admit.Report{Entry: "e1", Term: 2, Sequence: 1})
		if c.granted {
			require.NoError(t, err)
			require.Equal(t, uint64(2), reply.Term)
			continue
		}
		require.ErrorIs(t, err, errNotLeader, "%v", c.terms)
	}
}

// Guards against malformed proposals: one that enters the log is an entry that no
// replica can apply, and a false length in one can exhaust the memory. An accepted
// proposal can be applied and contains this replica's time. Fails with
// msgpack.Unmarshal in place of link.Unmarshal in validateAndStamp.
func FuzzValidateAndStamp(f *testing.F) {
	change, command := encoded(f, testChange()), encoded(f, testCommand())
	f.Add(uint8(api.KindCatalogue), change)
	f.Add(uint8(api.KindLedger), command)
	f.Add(uint8(api.KindLedger), change)
	f.Add(uint8(api.KindCatalogue), []byte{})
	f.Add(uint8(99), change)
	f.Add(uint8(api.KindCatalogue), change[:len(change)/2])
	huge := append([]byte{0x81, 0xa3}, "cat"...)
	huge = append(huge, 0x81, 0xa8)
	huge = append(huge, "services"...)
	f.Add(uint8(api.KindCatalogue), binary.BigEndian.AppendUint32(append(huge, 0xdd), 1<<31))
	now := time.Unix(1_900_000_000, 0)
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		s := &service{now: func() time.Time { return now }}
		enc, err := s.validateAndStamp(api.ProposeRequest{Kind: api.ProposalKind(kind), Data: data})
		if err != nil {
			return
		}
		_, err = NewMachine(nil, nil).Apply(replica.Entry{Index: 1, Term: 1, Kind: kind, Data: enc})
		require.NoError(t, err)
		if api.ProposalKind(kind) == api.KindLedger {
			var c ledger.Command
			require.NoError(t, msgpack.Unmarshal(enc, &c))
			require.Equal(t, now.UnixMilli(), c.Now)
			return
		}
		var c contract.Change
		require.NoError(t, msgpack.Unmarshal(enc, &c))
		require.True(t, now.Equal(c.At))
	})
}
