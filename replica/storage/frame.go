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

	// formatVersion is raised when old files can no longer be read.
	formatVersion = 1
)

// castagnoli is the CRC-32C table, which processors compute in hardware.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is in the first frame of each segment.
type segmentHeader struct {
	Version int    `msgpack:"v"`
	Replica uint64 `msgpack:"r"`
	// Restart: the log begins anew after the installed snapshot, whatever earlier
	// segments hold.
	ResetLog bool `msgpack:"x,omitempty"`
}

// record is the payload of a segment's frame.
type record struct {
	Header    *segmentHeader     `msgpack:"h,omitempty"`
	HardState *replica.HardState `msgpack:"s,omitempty"`
	Entries   []replica.Entry    `msgpack:"e,omitempty"`
}

// encodeFrame returns a frame with the payload v.
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

// frameCRC covers length, number and payload, but not itself.
func frameCRC(frame []byte) uint32 {
	crc := crc32.Update(0, castagnoli, frame[:lengthSize+frameNumberSize])
	return crc32.Update(crc, castagnoli, frame[frameHeaderSize:])
}

// cutFrame takes the first frame off b; ok is false if there is no whole one.
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

// frameFollows reports whether a whole frame with a number above after begins
// anywhere in b. An unsynced frame may be on disk in any pattern of pages, so
// neither its length nor its end can be trusted; only a later whole frame proves
// that the bad one had been synced.
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

// maxFrameGap bounds how far ahead a frame number may be to be taken for one.
// It spares computing a CRC at nearly every offset.
const maxFrameNumberGap = 1 << 20
