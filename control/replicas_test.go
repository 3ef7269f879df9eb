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

func entryOf(t *testing.T, kind api.ProposalKind, v any) replica.Entry {
	data, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return replica.Entry{Kind: uint8(kind), Data: data}
}

// A replica that was away for long is sent a snapshot. If it lacked the addresses
// of the replicas, that replica could not reach its peers as a leader; if it
// lacked the used ids, it would let one be used again; if it lacked the starts
// under way, it would start them twice.
//
// It breaks without the fields Replicas and Fleet of machineSnapshot.
func TestSnapshotKeepsReplicasAndFleet(t *testing.T) {
	from := NewMachine(nil, nil)
	state := fleet.State{Starts: []fleet.Start{{Token: "site/z1/g1/reclaimable/0"}}, LastNotice: 7}
	for _, e := range []replica.Entry{
		entryOf(t, api.KindReplica, api.ReplicaCommand{ID: 4, Address: "127.0.0.1:7140"}),
		entryOf(t, api.KindReplica, api.ReplicaCommand{ID: 9}),
		entryOf(t, api.KindFleet, fleet.Command{Next: state}),
	} {
		_, err := from.Apply(e)
		require.NoError(t, err)
	}
	enc, err := from.Snapshot()
	require.NoError(t, err)
	book := roster.NewAddressBook(nil)
	to := NewMachine(nil, book.SetMembers)
	require.NoError(t, to.Restore(enc))
	require.Equal(t, from.Fleet(), to.Fleet())
	require.Equal(t, uint64(1), to.Fleet().Version)
	addr, _ := book.Address(4)
	require.Equal(t, "127.0.0.1:7140", addr)
	result, err := to.Apply(entryOf(t, api.KindReplica, api.ReplicaCommand{ID: 9, Address: "127.0.0.1:7190"}))
	require.NoError(t, err)
	require.NotEmpty(t, result.(api.ReplicaResult).Refused)
}

// Two replicas restart at the same time and only they make a majority. One was
// added after the group was founded, and the other has not applied that yet: it
// knows the address from the message that asks for its vote. Otherwise it could
// not answer, and there would be no leader.
//
// It breaks without AddressBook.Observe.
func TestAddressIsHeardBeforeItIsLearnt(t *testing.T) {
	book := roster.NewAddressBook(map[uint64]string{1: "127.0.0.1:1"})
	book.Observe(1, "127.0.0.1:9")
	book.Observe(4, "127.0.0.1:4")
	require.Equal(t, []api.ReplicaAddress{{ID: 1, Address: "127.0.0.1:1"}, {ID: 4, Address: "127.0.0.1:4"}, {ID: 5}}, book.Members([]uint64{1, 4, 5}))
	book.SetMembers([]api.ReplicaAddress{{ID: 4, Address: "127.0.0.1:44"}})
	addr, _ := book.Address(4)
	require.Equal(t, "127.0.0.1:44", addr, "the log counts for more")
}
