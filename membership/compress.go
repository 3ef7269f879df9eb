package membership

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// compressedMarker starts a compressed message. It is the one byte that begins
	// no msgpack value.
	compressedMarker = 0xc1
	// minCompressBytes is the size from which compression is tried. Whole records
	// repeat addresses, models and zones and shrink to a third; pings and
	// load reports are short or hold hashes, and don't.
	minCompressBytes = 1 << 10
	// maxDecompressedBytes bounds what a message may grow to, so that a small one from
	// a faulty peer can't fill the memory.
	maxDecompressedBytes = 64 << 10
)

// compressor compresses messages. It keeps its tables, which take far more memory
// than a message.
type compressor struct {
	w   *flate.Writer
	buf bytes.Buffer
}

// compress returns data, or its compressed form if that is clearly shorter.
func (p *compressor) compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	p.buf.Reset()
	p.buf.WriteByte(compressedMarker)
	if p.w == nil {
		w, err := flate.NewWriter(&p.buf, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		p.w = w
	} else {
		p.w.Reset(&p.buf)
	}
	if _, err := p.w.Write(data); err != nil {
		return nil, err
	}
	if err := p.w.Close(); err != nil {
		return nil, err
	}
	if p.buf.Len() > len(data)*4/5 {
		return data, nil
	}
	return bytes.Clone(p.buf.Bytes()), nil
}

// decompress undoes pack.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(out) > maxDecompressedBytes {
		return nil, fmt.Errorf("gossip grows over %d bytes", maxDecompressedBytes)
	}
	return out, nil
}
