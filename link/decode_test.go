package link

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// A five-byte header claims 3.7 billion elements, or a body nests a million arrays.
// Decoding them would exhaust the memory or the stack and end the process.
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
