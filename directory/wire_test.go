package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/instance"
)

// Guards against a field that is lost on the way between processes: an entry would treat the
// server as another version, class or zone than it is.
func TestServerSurvivesEncoding(t *testing.T) {
	in := Server{Announcement: instance.Announcement{
		ID: "s1", Incarnation: 1 << 60, Sequence: 7, Address: "10.0.0.1:80", Region: "r", Zone: "z", Class: ClassReclaimable, State: instance.StateLeaving,
		Model: "m", Version: "v2", Adapters: []string{"a", "b"}, Role: "prefill", Services: []string{"web"}, Slots: 64, ChecksFences: true, LeavingIn: 1500,
	}, HeartbeatAge: 1234 * time.Millisecond, Overdue: true, Unreachable: true}
	data, err := msgpack.Marshal([]Server{in, {}})
	require.NoError(t, err)
	var out []Server
	require.NoError(t, msgpack.Unmarshal(data, &out))
	require.Equal(t, []Server{in, {}}, out)
}

// Guards against a compact list that is decoded to other statuses or heartbeats than were
// sent.
func TestCompactListsSurviveEncoding(t *testing.T) {
	in := []Status{{Key: 1 << 63, State: instance.StateGone, Overdue: true}, {Key: 2, State: instance.StateServing, Unreachable: true}}
	var statuses Statuses
	for _, status := range in {
		statuses = statuses.append(status)
	}
	beats := Heartbeats{{Key: 1 << 63, Sequence: 1 << 40, Age: 1500 * time.Millisecond}, {Key: 2}}
	data, err := msgpack.Marshal(&struct {
		S Statuses
		H Heartbeats
	}{statuses, beats})
	require.NoError(t, err)
	var out struct {
		S Statuses
		H Heartbeats
	}
	require.NoError(t, msgpack.Unmarshal(data, &out))
	require.Equal(t, in, slices.Collect(out.S.All()))
	require.Equal(t, len(in), out.S.Len())
	require.Equal(t, beats, out.H)
}

// Guards against a panic, an unknown state or a negative age when a peer sends bytes that are
// not a list.
func FuzzDecodeCompactLists(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, raw []byte) {
		data, err := msgpack.Marshal(raw)
		require.NoError(t, err)
		var statuses Statuses
		require.NoError(t, msgpack.Unmarshal(data, &statuses))
		for status := range statuses.All() {
			require.Contains(t, statesByOrder, status.State)
		}
		var beats Heartbeats
		if msgpack.Unmarshal(data, &beats) == nil {
			for _, beat := range beats {
				require.GreaterOrEqual(t, beat.Age, time.Duration(0))
			}
		}
	})
}
