package link

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// A damaged or hostile body claims a slice of 3.7 billion elements in five
// bytes, or nests a million arrays. Decoded as it stands, the first takes all
// memory and the second the stack, and the process dies with every request in
// it. Broken by removing the walk in Unmarshal.
func TestUnmarshalRefusesFalseLengths(t *testing.T) {
	type element struct{ A, B, C, D uint64 }
	var out struct{ List []element }
	huge := append([]byte{0x81, 0xa4}, "List"...)
	huge = append(huge, 0xdd, 0xdd, 0xdd, 0xdd, 0xdd)
	require.Error(t, Unmarshal(huge, &out))

	var raw msgpack.RawMessage
	require.ErrorIs(t, Unmarshal(bytes.Repeat([]byte{0x91}, 1<<20), &raw), ErrMalformed)

	out.List = []element{{A: 1}, {D: 1 << 60}}
	data, err := msgpack.Marshal(out)
	require.NoError(t, err)
	want := out.List
	out.List = nil
	require.NoError(t, Unmarshal(data, &out))
	require.Equal(t, want, out.List)
}
