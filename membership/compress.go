package membership

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// compressedMarker starts a compressed message. msgpack never uses this byte.
	compressedMarker = 0xc1
	// minCompressBytes is the size from which compression is tried. Full records
	// repeat addresses, models and zones and compress well; pings and load reports
	// are short or hold hashes.
	minCompressBytes = 1 << 10
	// maxDecompressedBytes bounds a decompressed message, so that a small message
	// from a faulty peer can't exhaust the memory.
	maxDecompressedBytes = 64 << 10
)

// compressor compresses messages. It reuses its tables, which are much larger than a
// message.
type compressor struct {
	w   *flate.Writer
	buf bytes.Buffer
}

// compress returns data, or its compressed form if that is at least a fifth shorter.
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

// decompress reverses compress. It returns data without compressedMarker unchanged.
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
		return nil, fmt.Errorf("decompressed gossip message exceeds %d bytes", maxDecompressedBytes)
	}
	return out, nil
}
