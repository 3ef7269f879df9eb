package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
)

// Body is a request's body that claims room for what has arrived of it. Reads return a *RefusedError or a
// *TooLargeError if there is none.
type Body struct {
	client  *Client
	ctx     context.Context
	source  io.ReadCloser
	length  int64 // -1: unknown
	covered int64 // bytes for which there is room
	read    int64
	err     error // of all further reads
	ended   bool  // the end of the body was read
}

// chunkedFactor is the room that a byte of a body of unknown length takes: a buffer that grows is copied.
const chunkedFactor = 2

// NewBody returns the body of a request with the given length, -1 if it is unknown. One byte more than SmallBody is
// covered, so that the end of a body of that size can be read.
func NewBody(ctx context.Context, c *Client, source io.ReadCloser, length int64) *Body {
	return &Body{client: c, ctx: ctx, source: source, length: length, covered: SmallBody + 1}
}

// Read reads bytes for which there is room.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.read >= b.covered && b.read != b.length {
		if b.err = b.cover(); b.err != nil {
			return 0, b.err
		}
	}
	if left := b.covered - b.read; left > 0 && int64(len(p)) > left {
		p = p[:left]
	}
	n, err := b.readSource(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

func (b *Body) readSource(p []byte) (int, error) {
	start := b.client.gate.intake.now()
	b.client.pace.begin(start)
	n, err := b.source.Read(p)
	b.client.pace.moved(start, b.client.gate.intake.now(), n)
	// Many bodies whose bytes are there already would else take turns of 10 ms each, and keep heartbeats waiting.
	runtime.Gosched()
	if err != nil && !errors.Is(err, io.EOF) && b.client.IsCut() {
		err = &RefusedError{Cause: errCut}
		b.err = err
	}
	return n, err
}

// cover claims room for the whole body if its length is known, and else for as much again as has been read.
func (b *Body) cover() error {
	if b.length >= 0 {
		b.covered = b.length
		return b.client.Claim(b.ctx, b.length)
	}
	more := max(b.covered, nextChunked)
	if err := b.client.Claim(b.ctx, chunkedFactor*more); err != nil {
		return err
	}
	b.covered += more
	return nil
}

// nextChunked is the least for which a body of unknown length claims room at once.
const nextChunked = 48 << 10

// Ended reports whether the whole body has been read.
func (b *Body) Ended() bool { return b.ended || b.read == b.length }

// Remaining returns the bytes of the body that have not been read, -1 if that is unknown.
func (b *Body) Remaining() int64 {
	if b.length < 0 {
		return -1
	}
	return b.length - b.read
}

// Close closes the body.
func (b *Body) Close() error { return b.source.Close() }

// ReadAll reads the whole body of a request. It returns an *http.MaxBytesError for a body of more than limit bytes.
func ReadAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	size := int64(SmallBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			if int64(len(buf)) == r.ContentLength {
				return buf, nil
			}
			if int64(len(buf)) > limit {
				return nil, &http.MaxBytesError{Limit: limit}
			}
			// The first byte beyond a buffer is read apart: there is room for more only then.
			var one [1]byte
			n, err := io.ReadFull(r.Body, one[:])
			if errors.Is(err, io.EOF) {
				return buf, nil
			}
			if err != nil {
				return nil, err
			}
			buf = append(grow(buf, r.ContentLength, limit), one[:n]...)
			continue
		}
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			if int64(len(buf)) > limit {
				return nil, &http.MaxBytesError{Limit: limit}
			}
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns buf with the capacity for a body of a known length, and else for as much again.
func grow(buf []byte, length, limit int64) []byte {
	size := min(2*int64(cap(buf)), limit+1)
	if length >= 0 {
		size = length
	}
	out := make([]byte, len(buf), max(size, int64(len(buf))+1))
	copy(out, buf)
	return out
}
