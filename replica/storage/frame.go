package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica"
)

const (
	lengthSize      = 4
	frameNumberSize = 8
	crcSize         = 4
	frameHeaderSize = lengthSize + frameNumberSize + crcSize

	// formatVersion is the version of the segments; others are refused.
	formatVersion = 1
)

// castagnoli is the table of CRC-32C, which has hardware support.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is part of the first frame of each segment.
type segmentHeader struct {
	Version int    `msgpack:"v"`
	Replica uint64 `msgpack:"r"`
	// ResetLog: the log continues after an installed snapshot; the entries of earlier
	// segments are discarded.
	ResetLog bool `msgpack:"x,omitempty"`
}

// record is the payload of a frame of a segment.
type record struct {
	Header    *segmentHeader     `msgpack:"h,omitempty"`
	HardState *replica.HardState `msgpack:"s,omitempty"`
	Entries   []replica.Entry    `msgpack:"e,omitempty"`
}

// encodeFrame returns a frame with the msgpack encoding of v as its payload.
func encodeFrame(number uint64, v any) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, frameHeaderSize))
	enc := msgpack.NewEncoder(buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	b := buf.Bytes()
	length := uint64(len(b) - frameHeaderSize)
	if length > math.MaxUint32 {
		return nil, fmt.Errorf("frame of %d bytes is too large", length)
	}
	binary.LittleEndian.PutUint32(b, uint32(length))
	binary.LittleEndian.PutUint64(b[lengthSize:], number)
	binary.LittleEndian.PutUint32(b[lengthSize+frameNumberSize:], frameCRC(b))
	return b, nil
}

// frameCRC returns the CRC of a frame's length, number and payload.
func frameCRC(frame []byte) uint32 {
	crc := crc32.Update(0, castagnoli, frame[:lengthSize+frameNumberSize])
	return crc32.Update(crc, castagnoli, frame[frameHeaderSize:])
}

// decodeFrame decodes the first frame of b and returns the bytes after it as rest.
// ok is false if b does not begin with a complete frame whose CRC matches.
func decodeFrame(b []byte) (number uint64, payload, rest []byte, ok bool) {
	if len(b) < frameHeaderSize {
		return 0, nil, nil, false
	}
	end := uint64(frameHeaderSize) + uint64(binary.LittleEndian.Uint32(b))
	if end > uint64(len(b)) {
		return 0, nil, nil, false
	}
	frame := b[:end]
	if binary.LittleEndian.Uint32(b[lengthSize+frameNumberSize:]) != frameCRC(frame) {
		return 0, nil, nil, false
	}
	number = binary.LittleEndian.Uint64(b[lengthSize:])
	return number, frame[frameHeaderSize:], b[end:], true
}

// containsLaterFrame reports whether a valid frame with a number above after begins
// at any offset of b. Of an unsynced frame any subset of pages may be on disk, so its
// length is not reliable; only a valid later frame proves that the invalid one had
// been synced.
func containsLaterFrame(b []byte, after uint64) bool {
	for ; len(b) >= frameHeaderSize; b = b[1:] {
		number := binary.LittleEndian.Uint64(b[lengthSize:])
		if number <= after || number > after+maxFrameNumberGap {
			continue
		}
		if _, _, _, ok := decodeFrame(b); ok {
			return true
		}
	}
	return false
}

// maxFrameNumberGap bounds the frame numbers that containsLaterFrame considers, so
// that it doesn't compute a CRC at nearly every offset.
const maxFrameNumberGap = 1 << 20
