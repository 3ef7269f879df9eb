package api

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A leader that was cut off wrote a change of the replica set into its own log,
// and nobody committed it. Later leaders changed the set otherwise. An entry that
// counted its majority over the first set could take an old catalogue for
// current, and a key that was taken away would open the door again.
//
// It breaks without Term in the comparison of newestVoters.
func TestVotersOfTheNewestLogCount(t *testing.T) {
	left := VotersReply{Term: 2, Members: 50, Voters: []ReplicaAddress{{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}}}
	later := VotersReply{Term: 3, Members: 40, Voters: []ReplicaAddress{{1, "a"}, {2, "b"}, {3, "c"}}}
	joining := VotersReply{Term: 9}
	require.Equal(t, []string{"a", "b", "c"}, newestVoters([]VotersReply{left, later, joining}))
	require.Equal(t, []string{"a", "b", "c"}, newestVoters([]VotersReply{joining, later, left}))
	_, err := confirmation([]VersionReply{{Index: 7}}, 3)
	require.ErrorIs(t, err, ErrNoMajority)
}
