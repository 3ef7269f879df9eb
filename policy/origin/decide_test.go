package origin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/policy/quorum"
)

// Guards against a stream that goes on at another version since replicas that lag behind the log, were
// replaced, or have no vote, know one version only.
func TestOnlyVotersThatAppliedTheirLogsDecide(t *testing.T) {
	reply := func(self uint64, applied bool, versions ...string) Reply {
		return Reply{Versions: versions, Applied: applied, View: quorum.View{Self: self, Index: 4, Voters: []uint64{1, 2, 3}}}
	}
	_, knowledge := Decide("s", []Reply{reply(1, true, "v1"), reply(2, false, "v1")}, true)
	require.Equal(t, Undecided, knowledge, "2 lags")
	_, knowledge = Decide("s", []Reply{reply(1, true, "v1"), reply(9, true, "v1")}, true)
	require.Equal(t, Undecided, knowledge, "9 is no voter")
	replaced := reply(4, true, "v1")
	replaced.View.Index, replaced.View.Voters = 7, []uint64{2, 3, 4}
	_, knowledge = Decide("s", []Reply{reply(1, true, "v1"), replaced}, true)
	require.Equal(t, Undecided, knowledge, "4 has replaced 1")
	began, knowledge := Decide("s", []Reply{reply(1, true, "v1"), reply(2, false, "v1"), reply(3, true, "v1")}, false)
	require.Equal(t, Known, knowledge)
	require.Equal(t, Origin{Service: "s", Version: "v1"}, began)
	_, knowledge = Decide("s", []Reply{reply(1, true, "v1"), reply(2, false, "v2"), reply(3, true, "v1")}, true)
	require.Equal(t, Unknown, knowledge)
}
