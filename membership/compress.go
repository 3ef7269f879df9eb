package membership

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// packedMark starts a compressed message. It is the one byte that begins
	// no msgpack value.
	packedMark = 0xc1
	// packAbove is the size from which compression is tried. Whole records
	// repeat addresses, models and zones and shrink to a third; pings and
	// load reports are short or hold hashes, and don't.
	packAbove = 1 << 10
	// maxUnpacked bounds what a message may grow to, so that a small one from
	// a faulty peer can't fill the memory.
	maxUnpacked = 64 << 10
)

// packer compresses messages. It keeps its tables, which take far more memory
// than a message.
type packer struct {
	w   *flate.Writer
	buf bytes.Buffer
}

// pack returns data, or its compressed form if that is clearly shorter.
func (p *packer) pack(data []byte) ([]byte, error) {
	if len(data) < packAbove {
		return data, nil
	}
	p.buf.Reset()
	p.buf.WriteByte(packedMark)
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

// unpack undoes pack.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedMark {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, err
	}
	if len(out) > maxUnpacked {
		return nil, fmt.Errorf("gossip grows over %d bytes", maxUnpacked)
	}
	return out, nil
}
