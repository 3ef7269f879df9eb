package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/fleet"
	"savoryreel.example/savoryreel/replica"
	"savoryreel.example/savoryreel/replica/roster"
)

func testEntry(t *testing.T, kind api.ProposalKind, v any) replica.Entry {
	data, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return replica.Entry{Kind: uint8(kind), Data: data}
}

// Guards against a snapshot without the replicas or the fleet. A replica restored from
// it could not reach its peers as leader, would accept a used id again, and would
// start instances twice. Fails without the fields Replicas and Fleet of
// machineSnapshot.
func TestSnapshotContainsReplicasAndFleet(t *testing.T) {
	source := NewMachine(nil, nil)
	state := fleet.State{Starts: []fleet.Start{{Token: "site/z1/g1/reclaimable/0"}}, LastNotice: 7}
	for _, e := range []replica.Entry{
		testEntry(t, api.KindReplica, api.ReplicaCommand{ID: 4, Address: "127.0.0.1:7140"}),
		testEntry(t, api.KindReplica, api.ReplicaCommand{ID: 9}),
		testEntry(t, api.KindFleet, fleet.Command{Next: state}),
	} {
		_, err := source.Apply(e)
		require.NoError(t, err)
	}
	enc, err := source.Snapshot()
	require.NoError(t, err)
	addresses := roster.NewAddressBook(nil)
	restored := NewMachine(nil, addresses.SetMembers)
	require.NoError(t, restored.Restore(enc))
	require.Equal(t, source.Fleet(), restored.Fleet())
	require.Equal(t, uint64(1), restored.Fleet().Version)
	addr, _ := addresses.Address(4)
	require.Equal(t, "127.0.0.1:7140", addr)
	result, err := restored.Apply(testEntry(t, api.KindReplica, api.ReplicaCommand{ID: 9, Address: "127.0.0.1:7190"}))
	require.NoError(t, err)
	require.NotEmpty(t, result.(api.ReplicaResult).Refused)
}

// Guards against a group without a leader: a replica must be able to reply to a vote
// request from one whose address it has not applied from the log yet. Fails without
// AddressBook.Observe.
func TestObservedAddressIsUsedUntilLogHasAnother(t *testing.T) {
	addresses := roster.NewAddressBook(map[uint64]string{1: "127.0.0.1:1"})
	addresses.Observe(1, "127.0.0.1:9")
	addresses.Observe(4, "127.0.0.1:4")
	require.Equal(t, []api.ReplicaAddress{{ID: 1, Address: "127.0.0.1:1"}, {ID: 4, Address: "127.0.0.1:4"}, {ID: 5}}, addresses.Members([]uint64{1, 4, 5}))
	addresses.SetMembers([]api.ReplicaAddress{{ID: 4, Address: "127.0.0.1:44"}})
	addr, _ := addresses.Address(4)
	require.Equal(t, "127.0.0.1:44", addr, "an address from the log has precedence")
}
