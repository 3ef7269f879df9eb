package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// PeerInfo says who is at the other end of a connection, as that end states it
// in its hello.
type PeerInfo struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"inc"`
	Address     string `msgpack:"addr"` // host:port on which it takes links; may be empty
	Role        string `msgpack:"role"` // "entry", "control", or a tool's name
}

const (
	nonceBytes        = 16
	maxHandshakeBytes = 4 << 10 // bytes of one frame before the peer has proved itself
	roleDialler       = "dialler"
	roleListener      = "listener"
)

type hello struct {
	Peer  PeerInfo `msgpack:"peer"`
	Nonce []byte   `msgpack:"nonce"`
}

// reject tells the other side why its handshake failed, so that the log of
// either end names the cause and not only a closed connection.
type reject struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
}

const (
	rejectKey     = "wrong_key"
	rejectVersion = "wrong_version"
	rejectFrame   = "bad_frame"
)

func encodeHello(self PeerInfo) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	return msgpack.Marshal(hello{Peer: self, Nonce: nonce})
}

func parseHello(body []byte) (hello, error) {
	var h hello
	if err := Unmarshal(body, &h); err != nil {
		return h, fmt.Errorf("hello: %w: %w", ErrMalformed, err)
	}
	if len(h.Nonce) != nonceBytes {
		return h, fmt.Errorf("nonce of %d bytes: %w", len(h.Nonce), ErrMalformed)
	}
	return h, nil
}

// computeProof is the MAC over both hellos. The role goes in first: without it a
// stranger could send an end its own computeProof back and pass.
func computeProof(key []byte, role string, dialler, listener []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(dialler)))
	mac.Write(size[:])
	mac.Write(dialler)
	mac.Write(listener)
	return mac.Sum(nil)
}

// dialHandshake runs the dialling side: hello out, hello and proof in, proof
// out, welcome in.
func dialHandshake(c *conn, self PeerInfo, key []byte) (PeerInfo, error) {
	ownHello, err := encodeHello(self)
	if err != nil {
		return PeerInfo{}, err
	}
	if err := c.handshakeSend(kindHello, ownHello); err != nil {
		return PeerInfo{}, err
	}
	peerHello, err := c.handshakeReceive(kindHello)
	if err != nil {
		return PeerInfo{}, err
	}
	h, err := parseHello(peerHello)
	if err != nil {
		return PeerInfo{}, c.sendReject(err)
	}
	peerProof, err := c.handshakeReceive(kindProof)
	if err != nil {
		return h.Peer, err
	}
	if !hmac.Equal(peerProof, computeProof(key, roleListener, ownHello, peerHello)) {
		return h.Peer, c.sendReject(ErrWrongKey)
	}
	if err := c.handshakeSend(kindProof, computeProof(key, roleDialler, ownHello, peerHello)); err != nil {
		return h.Peer, err
	}
	_, err = c.handshakeReceive(kindWelcome)
	return h.Peer, err
}

// listenHandshake runs the accepting side.
func listenHandshake(c *conn, self PeerInfo, key []byte) (PeerInfo, error) {
	peerHello, err := c.handshakeReceive(kindHello)
	if err != nil {
		return PeerInfo{}, c.sendReject(err)
	}
	h, err := parseHello(peerHello)
	if err != nil {
		return PeerInfo{}, c.sendReject(err)
	}
	ownHello, err := encodeHello(self)
	if err != nil {
		return h.Peer, err
	}
	if err := c.handshakeSend(kindHello, ownHello); err != nil {
		return h.Peer, err
	}
	if err := c.handshakeSend(kindProof, computeProof(key, roleListener, peerHello, ownHello)); err != nil {
		return h.Peer, err
	}
	peerProof, err := c.handshakeReceive(kindProof)
	if err != nil {
		return h.Peer, c.sendReject(err)
	}
	if !hmac.Equal(peerProof, computeProof(key, roleDialler, peerHello, ownHello)) {
		return h.Peer, c.sendReject(ErrWrongKey)
	}
	return h.Peer, c.handshakeSend(kindWelcome, nil)
}

func (c *conn) handshakeSend(k kind, body []byte) error {
	buf, err := appendFrame(nil, frame{kind: k, body: body}, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(buf); err != nil {
		return err
	}
	c.traffic.sent(MethodHandshake, len(buf))
	return nil
}

// handshakeReceive reads one frame and accepts only the kind that is due: a
// request that comes ahead of the proof is an error, not a request.
func (c *conn) handshakeReceive(want kind) ([]byte, error) {
	f, n, err := readFrame(c.br, min(maxHandshakeBytes, c.maxFrame))
	if err != nil {
		return nil, err
	}
	c.traffic.received(MethodHandshake, n)
	if f.kind == kindReject {
		return nil, parseReject(f.body)
	}
	if f.kind != want {
		return nil, fmt.Errorf("kind %d before the handshake was done: %w", f.kind, ErrMalformed)
	}
	return f.body, nil
}

// sendReject tells the other side the cause, as far as it can still be told, and
// returns err.
func (c *conn) sendReject(err error) error {
	r := reject{Code: rejectFrame, Message: err.Error()}
	var version *VersionError
	switch {
	case errors.Is(err, ErrWrongKey):
		r.Code = rejectKey
	case errors.As(err, &version):
		r.Code = rejectVersion
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrFrameTooLarge), errors.Is(err, ErrBadMagic):
	default:
		return err
	}
	body, encodeErr := msgpack.Marshal(r)
	if encodeErr != nil {
		return err
	}
	// The handshake has failed already: a failed write adds nothing to err.
	_ = c.handshakeSend(kindReject, body)
	return err
}

func parseReject(body []byte) error {
	var r reject
	if err := Unmarshal(body, &r); err != nil {
		return fmt.Errorf("reject: %w: %w", ErrMalformed, err)
	}
	if r.Code == rejectKey {
		return fmt.Errorf("refused by the peer: %w", ErrWrongKey)
	}
	return fmt.Errorf("refused by the peer: %s (%s)", r.Message, r.Code)
}
