package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// PeerInfo describes one end of a connection, as that end states it in its hello.
type PeerInfo struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"inc"`
	Address     string `msgpack:"addr"` // host:port on which it accepts connections; may be empty
	Role        string `msgpack:"role"` // "entry", "control", or a tool's name
}

const (
	nonceBytes        = 16
	maxHandshakeBytes = 4 << 10 // payload limit of a frame before the peer is authenticated
	roleDialler       = "dialler"
	roleListener      = "listener"
)

// hello is the body of the first frame of each end.
type hello struct {
	Peer  PeerInfo `msgpack:"peer"`
	Nonce []byte   `msgpack:"nonce"`
}

// reject is the body of the frame that reports a failed handshake to the other
// end, so that the logs of both ends name the cause.
type reject struct {
	Code    string `msgpack:"code"`
	Message string `msgpack:"message"`
}

// Codes of a reject.
const (
	rejectKey     = "wrong_key"
	rejectVersion = "wrong_version"
	rejectFrame   = "bad_frame"
)

// encodeHello returns the encoded hello of self with a new nonce.
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

// computeProof returns the MAC over both hellos that the end with the given role
// sends. The MAC includes the role: otherwise a peer without the key could pass by
// sending an end its own proof back (reflection attack).
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

// dialHandshake runs the handshake of the dialling end: it sends its hello,
// receives the peer's hello and proof, sends its proof and receives the welcome.
// The PeerInfo is that of the peer, also on an error after its hello.
func dialHandshake(c *conn, self PeerInfo, key []byte) (PeerInfo, error) {
	peer, err := c.proveDialler(kindHello, self, key)
	if err != nil {
		return peer, err
	}
	_, err = c.handshakeReceive(kindWelcome)
	return peer, err
}

// proveDialler runs the handshake of the dialling end up to its proof. helloKind says what the
// connection is for.
func (c *conn) proveDialler(helloKind kind, self PeerInfo, key []byte) (PeerInfo, error) {
	ownHello, err := encodeHello(self)
	if err != nil {
		return PeerInfo{}, err
	}
	if err := c.handshakeSend(helloKind, ownHello); err != nil {
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
	return h.Peer, c.handshakeSend(kindProof, computeProof(key, roleDialler, ownHello, peerHello))
}

// listenHandshake runs the handshake of the accepting end; see dialHandshake. It reports whether the
// connection is a Stream.
func listenHandshake(c *conn, self PeerInfo, key []byte) (peer PeerInfo, isStream bool, err error) {
	helloKind, peerHello, err := c.handshakeReceiveAny(kindHello, kindStreamHello)
	if err != nil {
		return PeerInfo{}, false, c.sendReject(err)
	}
	isStream = helloKind == kindStreamHello
	h, err := parseHello(peerHello)
	if err != nil {
		return PeerInfo{}, isStream, c.sendReject(err)
	}
	ownHello, err := encodeHello(self)
	if err != nil {
		return h.Peer, isStream, err
	}
	if err := c.handshakeSend(kindHello, ownHello); err != nil {
		return h.Peer, isStream, err
	}
	if err := c.handshakeSend(kindProof, computeProof(key, roleListener, peerHello, ownHello)); err != nil {
		return h.Peer, isStream, err
	}
	peerProof, err := c.handshakeReceive(kindProof)
	if err != nil {
		return h.Peer, isStream, c.sendReject(err)
	}
	if !hmac.Equal(peerProof, computeProof(key, roleDialler, peerHello, ownHello)) {
		return h.Peer, isStream, c.sendReject(ErrWrongKey)
	}
	return h.Peer, isStream, c.handshakeSend(kindWelcome, nil)
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

// handshakeReceive reads one frame and returns its body. Any kind other than the
// expected one is an error, so no request or notice is accepted before the proof.
func (c *conn) handshakeReceive(want kind) ([]byte, error) {
	_, body, err := c.handshakeReceiveAny(want)
	return body, err
}

func (c *conn) handshakeReceiveAny(want ...kind) (kind, []byte, error) {
	f, n, err := readFrame(c.br, min(maxHandshakeBytes, c.maxFrame))
	if err != nil {
		return 0, nil, err
	}
	c.traffic.received(MethodHandshake, n)
	if f.kind == kindReject {
		return 0, nil, parseReject(f.body)
	}
	if !slices.Contains(want, f.kind) {
		return 0, nil, fmt.Errorf("kind %d before the handshake was done: %w", f.kind, ErrMalformed)
	}
	return f.kind, f.body, nil
}

// sendReject reports err to the other end, if err has a reject code, and returns
// err.
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
	// err already reports the failed handshake; a write error adds nothing.
	_ = c.handshakeSend(kindReject, body)
	return err
}

// parseReject returns the error that a reject frame reports.
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
