package link

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds how deep arrays and maps may nest in a body. The codec
// recurses; without a bound a frame of array headers alone exhausts the stack.
const maxDepth = 64

// Unmarshal decodes a msgpack value that came from another process.
//
// The codec (v5.4.1) makes room for a typed slice by the length that the data
// name, before it has read an element: a dozen bytes can claim four billion
// elements, and the process dies of lack of memory. So the data are walked
// first; each element takes at least a byte, so a length that isn't true ends
// the walk at the end of the data.
func Unmarshal(data []byte, v any) error {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(data))
	if err := validate(d, 0); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

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
