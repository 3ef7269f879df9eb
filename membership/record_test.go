package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

// Statuses merged in any order and any number of times must give the same record.
// Otherwise one entry sends requests to a server that another has as leaving, and digest
// comparison never resolves it.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	status := rapid.Custom(func(rt *rapid.T) statusDelta {
		small := rapid.Uint64Range(0, 4)
		return statusDelta{
			Seq: small.Draw(rt, "seq"), Flags: rapid.SampledFrom([]uint8{0, flagLeaving, flagLeaving | flagLeft}).Draw(rt, "flags"),
			Suspect: small.Draw(rt, "suspect"), Gone: small.Draw(rt, "gone"),
			HomeSeq: small.Draw(rt, "homeSeq"), Home: small.Draw(rt, "home"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		deltas := rapid.SliceOfN(status, 1, 6).Draw(rt, "deltas")
		shuffled := rapid.Permutation(append(deltas, deltas...)).Draw(rt, "order")
		a, b := newRecord(recordServer, "s", 1), newRecord(recordServer, "s", 1)
		for _, d := range deltas {
			a.mergeStatus(d)
		}
		for _, d := range shuffled {
			b.mergeStatus(d)
			b.mergeLoad(loadDelta{Seq: d.Seq})
		}
		require.Equal(rt, a.status, b.status)
		require.Equal(rt, a.hash(), b.hash(), "the load is no part of the hash")
		require.Zero(rt, b.mergeStatus(a.status))
	})
}

// A push is planned by estimated sizes. If an estimate is too low, encoding fails and
// the records of the push are lost until the next digest comparison.
func TestPushesFitMessageAndLoseNoRecord(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(1)
		from, to := c.add("r", "z").core, c.add("r", "z").core
		from.applyFull(to.self.full(), c.now)
		from.joined = true
		from.rebuildTopology(c.now)
		text := rapid.StringN(1, 40, 80)
		count := rapid.IntRange(150, 250).Draw(rt, "servers")
		for i := range count {
			a := instance.Announcement{
				ID: fmt.Sprint(i, "-") + text.Draw(rt, "id"), Incarnation: rapid.Uint64().Draw(rt, "inc"),
				Sequence: rapid.Uint64Min(1).Draw(rt, "seq"), Address: fmt.Sprint(i, "-") + text.Draw(rt, "addr"),
				State: instance.StateServing, Adapters: rapid.SliceOfN(text, 0, 6).Draw(rt, "adapters"),
			}
			require.NoError(rt, from.announce(a, c.now))
		}
		from.nextDigest = c.now.Add(time.Hour)
		for range 200 {
			c.now = c.now.Add(from.cfg.PushInterval)
			from.tick(c.now)
			for _, o := range from.out {
				require.LessOrEqual(rt, len(o.Message), from.cfg.MaxMessageBytes)
				m, err := decodeMessage(o.Message)
				require.NoError(rt, err)
				to.applyDeltas(sender{ID: from.self.id, Address: "x"}, m, c.now)
			}
			from.out = nil
		}
		require.Len(rt, to.records, count+1)
	})
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []message{
		{Kind: kindPush, Status: []statusDelta{{Ref: 1, Seq: 2, Flags: flagLeaving}}, Loads: []loadDelta{{Ref: 1}}},
		{Kind: kindJoin, Fulls: []fullDelta{{Kind: recordServer, ID: "s", Inc: 3}}},
		{Kind: kindDigest, Buckets: make([]uint32, bucketCount)},
	} {
		data, err := encode(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		c := newCluster(1)
		n := c.add("r", "z")
		n.core.receive(sender{ID: "x", Address: "x:1"}, m, c.now)
		n.core.tick(c.now.Add(n.core.cfg.Tick))
		n.core.drainChanges(c.now)
	})
}
