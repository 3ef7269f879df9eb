package api

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// EncodeCatalogue encodes a catalogue for MethodCatalogue. Replicas with the same catalogue
// encode the same bytes, so that they may take turns in sending them.
func EncodeCatalogue(r *CatalogueReply) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.SetSortMapKeys(true)
	if err := enc.Encode(r); err != nil {
		return nil, trace.Wrap(err, "step=encode catalogue")
	}
	return buf.Bytes(), nil
}

// DecodeCatalogue is the inverse of EncodeCatalogue.
func DecodeCatalogue(encoded []byte) (r CatalogueReply, err error) {
	err = msgpack.Unmarshal(encoded, &r)
	return r, trace.Wrap(err, "step=decode catalogue")
}

// cataloguePartBytes is the size of a part, of which a slow link carries some within
// attemptTimeout.
const cataloguePartBytes = 32 << 10
