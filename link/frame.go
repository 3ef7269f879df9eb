package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// ProtocolVersion is the version of the wire format. Every frame header carries
// it, so that the first frame of a peer already reveals an incompatible version.
const ProtocolVersion = 1

// DefaultMaxFrame is the default limit on the payload of a frame, in bytes.
const DefaultMaxFrame = 4 << 20

const (
	magic0            = 'S'
	magic1            = 'r'
	headerBytes       = 8 // magic (2), version, kind, payload length (4, big endian)
	maxMethodBytes    = 255
	payloadChunkBytes = 64 << 10 // allocated at most ahead of the payload bytes received
)

// kind is the type of a frame.
type kind byte

const (
	kindHello kind = iota + 1
	kindProof
	kindWelcome
	kindReject
	kindHeartbeat
	kindRequest
	kindResponse
	kindError
	kindNotice
	kindCancel
	kindStreamHello // hello of a connection that becomes a Stream
)

// frame is one message on the wire: a header, then a payload of the call ID and
// the timeout as uvarints, the method with a one-byte length, and the body. If all
// these fields are zero, as in a heartbeat, the payload is empty.
type frame struct {
	kind          kind
	id            uint64
	timeoutMillis uint64 // until the deadline of a request; 0: no deadline
	method        string
	body          []byte
}

// Errors of encoding and decoding frames.
var (
	ErrBadMagic      = errors.New("not a frame of this protocol")
	ErrFrameTooLarge = errors.New("frame exceeds the size bound")
	ErrMalformed     = errors.New("malformed frame")
)

// VersionError reports that the other end uses another protocol version.
type VersionError struct {
	Got, Want byte
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d, this side speaks %d", e.Got, e.Want)
}

// appendFrame appends the encoded f to dst. It returns ErrMalformed if the method
// exceeds maxMethodBytes and ErrFrameTooLarge if the payload exceeds maxPayload
// bytes.
func appendFrame(dst []byte, f frame, maxPayload int) ([]byte, error) {
	if len(f.method) > maxMethodBytes {
		return dst, fmt.Errorf("method name of %d bytes: %w", len(f.method), ErrMalformed)
	}
	start := len(dst)
	dst = append(dst, magic0, magic1, ProtocolVersion, byte(f.kind), 0, 0, 0, 0)
	if f.id == 0 && f.timeoutMillis == 0 && f.method == "" && len(f.body) == 0 {
		return dst, nil
	}
	dst = binary.AppendUvarint(dst, f.id)
	dst = binary.AppendUvarint(dst, f.timeoutMillis)
	dst = append(dst, byte(len(f.method)))
	dst = append(dst, f.method...)
	dst = append(dst, f.body...)
	size := len(dst) - start - headerBytes
	if size > maxPayload {
		return dst[:start], fmt.Errorf("%d bytes, bound %d: %w", size, maxPayload, ErrFrameTooLarge)
	}
	binary.BigEndian.PutUint32(dst[start+4:], uint32(size))
	return dst, nil
}

// readFrame reads one frame with a payload of at most maxPayload bytes and returns
// it with its size on the wire in bytes. It returns io.EOF if the stream ends
// between two frames and io.ErrUnexpectedEOF if it ends within one.
func readFrame(r *bufio.Reader, maxPayload int) (frame, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, 0, err
	}
	if header[0] != magic0 || header[1] != magic1 {
		return frame{}, 0, ErrBadMagic
	}
	if header[2] != ProtocolVersion {
		return frame{}, 0, &VersionError{Got: header[2], Want: ProtocolVersion}
	}
	size := binary.BigEndian.Uint32(header[4:])
	if uint64(size) > uint64(maxPayload) {
		return frame{}, 0, fmt.Errorf("%d bytes, bound %d: %w", size, maxPayload, ErrFrameTooLarge)
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return frame{}, 0, err
	}
	f, err := parsePayload(kind(header[3]), payload)
	return f, headerBytes + int(size), err
}

// readPayload reads size bytes. It grows the buffer as data arrives, so that a
// header with a large length and no data after it costs one chunk of memory only.
func readPayload(r io.Reader, size int) ([]byte, error) {
	buf := make([]byte, 0, min(size, payloadChunkBytes))
	for len(buf) < size {
		n := min(size-len(buf), payloadChunkBytes)
		start := len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return buf, nil
}

func parsePayload(k kind, payload []byte) (frame, error) {
	f := frame{kind: k}
	if k < kindHello || k > kindStreamHello {
		return f, fmt.Errorf("kind %d: %w", k, ErrMalformed)
	}
	if len(payload) == 0 {
		return f, nil
	}
	rest := payload
	for _, field := range []*uint64{&f.id, &f.timeoutMillis} {
		v, n := binary.Uvarint(rest)
		if n <= 0 {
			return f, fmt.Errorf("call id or timeout: %w", ErrMalformed)
		}
		*field, rest = v, rest[n:]
	}
	if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
		return f, fmt.Errorf("method name: %w", ErrMalformed)
	}
	end := 1 + int(rest[0])
	f.method, f.body = string(rest[1:end]), rest[end:]
	return f, nil
}
