package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// kind is the type of a frame.
type kind byte

const (
	kindData    kind = iota + 1
	kindOpened       // the connection to the server is open
	kindRefused      // it could not be opened; the payload is the Refusal
	kindEnd          // the server has closed its connection
	kindReset        // the connection to the server broke off
	kindLeaving      // the carrying entry is about to end: no further exchange may begin
)

const (
	headerBytes = 5 // kind (1), payload length (4, big endian)
	// maxPayload bounds the payload of a frame.
	maxPayload = 8 << 10
)

// errMalformed reports a frame that no version of this protocol sends.
var errMalformed = errors.New("malformed frame of a tunnel")

// frameBuffer returns a buffer for a frame, of which the payload is the part after headerBytes.
func frameBuffer() []byte { return make([]byte, headerBytes+maxPayload) }

// writeFrame writes the frame whose payload are the n bytes of buf after headerBytes, in one write.
func writeFrame(w io.Writer, k kind, buf []byte, n int) error {
	buf[0] = byte(k)
	binary.BigEndian.PutUint32(buf[1:headerBytes], uint32(n))
	_, err := w.Write(buf[:headerBytes+n])
	return err
}

// readHeader reads the header of a frame and returns the length of its payload.
func readHeader(r io.Reader) (kind, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(header[1:])
	if n > maxPayload {
		return 0, 0, fmt.Errorf("%d bytes of payload: %w", n, errMalformed)
	}
	return kind(header[0]), int(n), nil
}
