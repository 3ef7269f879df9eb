package link

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of arrays and maps in a body. The codec recurses,
// so a frame of nested array headers alone could exhaust the stack.
const maxDepth = 64

// Unmarshal decodes a msgpack value received from another process.
//
// It first checks that the data holds as many elements as its length fields claim.
// The codec (v5.4.1) allocates a typed slice by the claimed length before it reads
// an element, so a dozen bytes that claim four billion elements would exhaust the
// memory of the process.
func Unmarshal(data []byte, v any) error {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(data))
	if err := validate(d, 0); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// validate reads one value with all that it contains. A false length ends it with
// an error at the end of the data, as each element takes at least a byte.
func validate(d *msgpack.Decoder, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("nested deeper than %d: %w", maxDepth, ErrMalformed)
	}
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	entries, valuesPerEntry := 0, 1
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		entries, err = d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		entries, err = d.DecodeMapLen()
		valuesPerEntry = 2
	default:
		return d.Skip()
	}
	if err != nil {
		return err
	}
	for range entries * valuesPerEntry {
		if err := validate(d, depth+1); err != nil {
			return err
		}
	}
	return nil
}
