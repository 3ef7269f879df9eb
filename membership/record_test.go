package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"savoryreel.example/savoryreel/instance"
)

// Two entries hear the same news by different ways, one twice and in reverse.
// Were the outcome to depend on that, one would send work to a server that the
// other knows to be leaving, and no comparison would ever settle it.
func TestJoinIgnoresOrderAndRepeats(t *testing.T) {
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
			a.joinStatus(d)
		}
		for _, d := range shuffled {
			b.joinStatus(d)
			b.joinLoad(loadDelta{Seq: d.Seq})
		}
		require.Equal(rt, a.status, b.status)
		require.Equal(rt, a.hash(), b.hash(), "the load is no part of the hash")
		require.Zero(rt, b.joinStatus(a.status))
	})
}

func TestMessageBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(1)
		n := c.add("r", "z").core
		other := c.add("r", "z").core
		n.learnFull(other.self.full(), c.now)
		n.rebuildRing(c.now)
		for i := range rapid.IntRange(1, 200).Draw(rt, "servers") {
			a := instance.Announcement{
				ID: string(rune('a'+i%26)) + rapid.StringN(0, 30, 60).Draw(rt, "id"), Incarnation: rapid.Uint64().Draw(rt, "inc"),
				Sequence: rapid.Uint64().Draw(rt, "seq"), Address: rapid.StringN(1, 20, 40).Draw(rt, "addr"),
				State: instance.StateServing, Adapters: rapid.SliceOfN(rapid.StringN(0, 20, 40), 0, 6).Draw(rt, "adapters"),
			}
			require.NoError(rt, n.announce(a, c.now))
		}
		c.now = c.now.Add(n.cfg.Tick)
		n.tick(c.now)
		for _, o := range n.out {
			require.LessOrEqual(rt, len(o.Message), n.cfg.MaxMessage)
			_, err := decodeMessage(o.Message)
			require.NoError(rt, err)
		}
		require.NotEmpty(rt, n.out, "something fits")
	})
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []message{
		{Kind: kindPush, Status: []statusDelta{{Ref: 1, Seq: 2, Flags: flagLeaving}}, Loads: []loadDelta{{Ref: 1}}},
		{Kind: kindJoin, Fulls: []fullDelta{{Kind: recordServer, ID: "s", Inc: 3}}},
		{Kind: kindDigest, Buckets: make([]uint32, buckets)},
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
		n.core.takeChanges(c.now)
	})
}
