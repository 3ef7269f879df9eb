package membership

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCompressRoundTrip(t *testing.T) {
	var p compressor
	rapid.Check(t, func(rt *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(rt, "unit")
		data := append([]byte{0x9a}, bytes.Repeat(unit, rapid.IntRange(1, 200).Draw(rt, "times"))...)
		compressed, err := p.compress(data)
		require.NoError(rt, err)
		require.LessOrEqual(rt, len(compressed), len(data))
		out, err := decompress(compressed)
		require.NoError(rt, err)
		require.Equal(rt, data, out)
	})
}

// A small message from a faulty or hostile member may decompress to gigabytes. It must
// be rejected before it exhausts the receiver's memory.
func TestDecompressedSizeIsBounded(t *testing.T) {
	var p compressor
	compressed, err := p.compress(make([]byte, 64*maxDecompressedBytes))
	require.NoError(t, err)
	require.Less(t, len(compressed), maxDecompressedBytes)
	_, err = decompress(compressed)
	require.ErrorContains(t, err, "decompressed gossip message exceeds")
}
