package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// decode reads one frame from data.
func decode(data []byte, limit int) (frame, int, error) {
	return readFrame(bufio.NewReader(bytes.NewReader(data)), limit)
}

// Every encoded frame must decode to the same fields and size.
func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := frame{
			kind:          kind(rapid.IntRange(int(kindHello), int(kindCancel)).Draw(rt, "kind")),
			id:            rapid.Uint64().Draw(rt, "id"),
			timeoutMillis: rapid.Uint64().Draw(rt, "timeout"),
			method:        string(rapid.SliceOfN(rapid.Byte(), 0, maxMethodBytes).Draw(rt, "method")),
			body:          rapid.SliceOfN(rapid.Byte(), 0, 3*payloadChunkBytes/2).Draw(rt, "body"),
		}
		wire, err := appendFrame(nil, in, DefaultMaxFrame)
		require.NoError(rt, err)
		out, n, err := decode(wire, DefaultMaxFrame)
		require.NoError(rt, err)
		require.Equal(rt, len(wire), n)
		require.True(rt, bytes.Equal(in.body, out.body))
		in.body, out.body = nil, nil
		require.Equal(rt, in, out)
	})
}

// A connection breaks within a frame. A truncated frame decoded as a whole one would
// run a call with part of its body; every cut must return an error.
func TestFrameTruncated(t *testing.T) {
	wire, err := appendFrame(nil, frame{kind: kindRequest, id: 300, method: "m", body: []byte("body")}, DefaultMaxFrame)
	require.NoError(t, err)
	for cut := range wire {
		_, _, err := decode(wire[:cut], DefaultMaxFrame)
		if cut == 0 {
			require.ErrorIs(t, err, io.EOF)
			continue
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut at %d", cut)
	}
}

// A header claims gigabytes. If the receiver allocated them, one frame would exhaust
// its memory; it must reject the frame by its header alone.
func TestFrameOversized(t *testing.T) {
	header := []byte{magic0, magic1, ProtocolVersion, byte(kindRequest), 0, 0, 0, 0}
	binary.BigEndian.PutUint32(header[4:], 1<<31)
	_, _, err := decode(header, DefaultMaxFrame)
	require.ErrorIs(t, err, ErrFrameTooLarge)
	_, err = appendFrame(nil, frame{kind: kindNotice, method: "m", body: make([]byte, 100)}, 50)
	require.ErrorIs(t, err, ErrFrameTooLarge)
}

// A peer of another version or protocol must get an error that names the cause.
func TestFrameWrongVersionAndMagic(t *testing.T) {
	_, _, err := decode([]byte{magic0, magic1, ProtocolVersion + 1, byte(kindHello), 0, 0, 0, 0}, DefaultMaxFrame)
	var version *VersionError
	require.ErrorAs(t, err, &version)
	require.EqualValues(t, ProtocolVersion+1, version.Got)
	_, _, err = decode([]byte("GET / HTTP/1.1\r\n"), DefaultMaxFrame)
	require.ErrorIs(t, err, ErrBadMagic)
}

// Any input must give an error or a frame that encodes and decodes to itself.
func FuzzReadFrame(f *testing.F) {
	for _, seed := range []frame{
		{kind: kindHeartbeat},
		{kind: kindRequest, id: 1, timeoutMillis: 1000, method: "membership.gossip", body: []byte{0x80}},
		{kind: kindError, id: 1 << 60, body: []byte("x")},
	} {
		wire, err := appendFrame(nil, seed, DefaultMaxFrame)
		require.NoError(f, err)
		f.Add(wire)
	}
	f.Add([]byte{magic0, magic1, ProtocolVersion, byte(kindCancel), 0, 0, 0, 2, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 12
		fr, n, err := decode(data, limit)
		if err != nil {
			return
		}
		wire, err := appendFrame(nil, fr, limit)
		require.NoError(t, err)
		reread, _, err := decode(wire, limit)
		require.NoError(t, err)
		require.LessOrEqual(t, n, len(data))
		require.Equal(t, fr.method, reread.method)
		require.True(t, bytes.Equal(fr.body, reread.body))
		require.Equal(t, [3]uint64{fr.id, fr.timeoutMillis, uint64(fr.kind)}, [3]uint64{reread.id, reread.timeoutMillis, uint64(reread.kind)})
	})
}
