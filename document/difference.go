package document

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A difference is a sequence of operations: a uvarint n*2+1, then n bytes to insert; or a uvarint
// n*2 and a uvarint offset, to copy n bytes of the base from there.
const (
	opInsert = 1
	opShift  = 1
)

// errDifference reports a difference that does not fit its base.
var errDifference = errors.New("malformed difference")

// Difference returns the operations that make target from base. It is deterministic, so that holders
// may take turns in sending it.
func Difference(base, target []byte) []byte {
	d := differ{base: base, positions: make(map[uint64]int)}
	for rest, at := base, 0; len(rest) > 0; {
		n := pieceLength(rest)
		sum := xxhash.Sum64(rest[:n])
		if _, known := d.positions[sum]; !known {
			d.positions[sum] = at
		}
		rest, at = rest[n:], at+n
	}
	for rest := target; len(rest) > 0; {
		n := pieceLength(rest)
		d.add(rest[:n])
		rest = rest[n:]
	}
	d.flush()
	return d.out
}

// differ collects the operations. At most one of inserted and copied is not empty.
type differ struct {
	base       []byte
	positions  map[uint64]int // of the pieces of base, by their hash
	inserted   []byte
	copiedFrom int
	copied     int // bytes
	out        []byte
}

// add appends a piece of the target: from where the last copy ended, from anywhere in the base, or
// as it is.
func (d *differ) add(piece []byte) {
	if d.copied > 0 && bytes.HasPrefix(d.base[d.copiedFrom+d.copied:], piece) {
		d.copied += len(piece)
		return
	}
	at, known := d.positions[xxhash.Sum64(piece)]
	if known && bytes.HasPrefix(d.base[at:], piece) {
		d.flush()
		d.copiedFrom, d.copied = at, len(piece)
		return
	}
	if d.copied > 0 {
		d.flush()
	}
	d.inserted = append(d.inserted, piece...)
}

func (d *differ) flush() {
	switch {
	case len(d.inserted) > 0:
		d.out = binary.AppendUvarint(d.out, uint64(len(d.inserted))<<opShift|opInsert)
		d.out = append(d.out, d.inserted...)
		d.inserted = d.inserted[:0]
	case d.copied > 0:
		d.out = binary.AppendUvarint(d.out, uint64(d.copied)<<opShift)
		d.out = binary.AppendUvarint(d.out, uint64(d.copiedFrom))
		d.copied = 0
	}
}

// Apply returns the target of a difference from base, if it has at most maxBytes.
func Apply(base, difference []byte, maxBytes int) ([]byte, error) {
	var out []byte
	for len(difference) > 0 {
		op, n := binary.Uvarint(difference)
		length := op >> opShift
		if n <= 0 || length == 0 || length > uint64(maxBytes-len(out)) {
			return nil, errDifference
		}
		difference = difference[n:]
		if op&opInsert != 0 {
			if length > uint64(len(difference)) {
				return nil, errDifference
			}
			out = append(out, difference[:length]...)
			difference = difference[length:]
			continue
		}
		from, n := binary.Uvarint(difference)
		if n <= 0 || from > uint64(len(base)) || length > uint64(len(base))-from {
			return nil, errDifference
		}
		out = append(out, base[from:from+length]...)
		difference = difference[n:]
	}
	return out, nil
}

// Bounds of a piece in bytes. Pieces end where the bytes before say so, so that they are the same
// again after an insertion or a deletion.
const (
	minPieceBytes  = 24
	maxPieceBytes  = 512
	pieceEndMask   = 1<<6 - 1 // one position in 64 ends a piece
	rollMultiplier = 0x9E3779B97F4A7C15
)

// pieceLength returns the length of the first piece of data, which is not empty.
func pieceLength(data []byte) int {
	end := min(len(data), maxPieceBytes)
	roll := uint64(0)
	for i := range end {
		roll = roll<<1 + (uint64(data[i])+1)*rollMultiplier>>32
		if i >= minPieceBytes && roll&pieceEndMask == pieceEndMask {
			return i + 1
		}
	}
	return end
}
