package gateway

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/policy/booking"
)

const (
	// maxDatagramBytes keeps a datagram within the MTU of common networks, so that it is not
	// fragmented.
	maxDatagramBytes = 1400
	// macBytes is the length of the message authentication code (truncated HMAC-SHA-256)
	// that precedes the message.
	macBytes = 16
)

// datagrams sends and receives messages between entries over UDP. Messages may be lost; the
// protocol tolerates it, so no receipt is confirmed.
type datagrams struct {
	key    []byte
	log    *slog.Logger
	handle func(message)
	conn   *net.UDPConn

	mu      sync.Mutex
	failing bool
}

// message is a message between entries. It is encoded by the order of its fields.
type message struct {
	From string // the sender's name
	Life uint64 // the sender's incarnation
	// Sequence numbers the messages of an incarnation. A response has that of its request.
	Sequence uint64
	Kind     messageKind
	Loads    []serverLoad
	Limit    *limitRequest
	Answer   *limitResponse
	Shares   *sharesMessage
	Held     bool          // in kindReturnResponse: the sender had shares to return
	Up       time.Duration // in kindReturnResponse: time since the sender's start
	Place    *placeRequest
	Fits     bool // in kindPlaceResponse: the server has room
}

// messageKind is the type of a message.
type messageKind uint8

const (
	// kindLoadsRequest queries the load of others on the servers in Loads, of which only the
	// names count.
	kindLoadsRequest messageKind = iota + 1
	// kindLoadsResponse is the response to kindLoadsRequest.
	kindLoadsResponse
	// kindLoadsReport reports the sender's load on servers to their owner.
	kindLoadsReport
	// kindLimitRequest asks the owner of a pool to admit a request.
	kindLimitRequest
	// kindLimitResponse is the response to kindLimitRequest.
	kindLimitResponse
	// kindRefund returns the cost of a request that did not run.
	kindRefund
	// kindLeaseRequest asks an entry to lend its shares of pools.
	kindLeaseRequest
	// kindLeaseResponse is the response to kindLeaseRequest.
	kindLeaseResponse
	// kindReturnRequest asks an entry to return the shares lent by the sender's previous
	// incarnation.
	kindReturnRequest
	// kindReturnResponse is the response to kindReturnRequest.
	kindReturnResponse
	// kindPlaceRequest asks the owner of a brittle server for a place there.
	kindPlaceRequest
	// kindPlaceResponse is the response to kindPlaceRequest.
	kindPlaceResponse
)

// serverLoad is the load on a backend server. It is encoded by the order of its fields.
type serverLoad struct {
	Server  string
	Running int
	Prefill int  // prompt tokens of requests without an answer yet
	Down    bool // found to be gone
	// Urgent is the part that can still meet its objective, of a service whose requests compete for
	// slots; nil for others.
	Urgent *urgentLoad
}

// urgentLoad is the part of a server's load that can still meet its objective, and how fast the
// server reads prompts. It is encoded by the order of its fields.
type urgentLoad struct {
	Pending int // requests without an answer yet
	Prefill int // their prompt tokens
	// Rate is the prompt tokens per second that the server was seen to read: of one request in a
	// report, of the last ones in a response; 0: not known.
	Rate        int
	Incarnation uint64 // start of the server that Rate was measured on
}

// valid reports whether the fields are within their ranges.
func (u *urgentLoad) valid() bool {
	return u == nil || u.Pending >= 0 && u.Pending <= maxLoad && u.Prefill >= 0 && u.Prefill <= maxLoad && u.Rate >= 0 && u.Rate <= maxLoad
}

// booked returns the load in the form of load tables.
func (l *serverLoad) booked() booking.Load {
	out := booking.Load{Running: l.Running, Prefill: l.Prefill, Down: l.Down}
	if u := l.Urgent; u != nil {
		out.UrgentPending, out.UrgentPrefill, out.Rate, out.Incarnation = u.Pending, u.Prefill, u.Rate, u.Incarnation
	}
	return out
}

// messageLoad returns a server's load in the form of messages.
func messageLoad(server string, l booking.Load) serverLoad {
	out := serverLoad{Server: server, Running: l.Running, Prefill: l.Prefill, Down: l.Down}
	if l.UrgentPending > 0 || l.UrgentPrefill > 0 || l.Rate > 0 {
		out.Urgent = &urgentLoad{Pending: l.UrgentPending, Prefill: l.UrgentPrefill, Rate: l.Rate, Incarnation: l.Incarnation}
	}
	return out
}

func newDatagrams(key string, log *slog.Logger, handle func(message)) *datagrams {
	return &datagrams{key: []byte(key), log: log, handle: handle}
}

// open opens the socket at addr.
func (d *datagrams) open(ctx context.Context, addr string) error {
	var cfg net.ListenConfig
	conn, err := cfg.ListenPacket(ctx, "udp4", addr)
	if err != nil {
		return trace.Wrap(err, "step=open datagram socket address=%s", addr)
	}
	event.Log(ctx, d.log, slog.LevelInfo, event.ListenerOpen, slog.String("purpose", "datagrams"), slog.String("address", addr))
	d.conn = conn.(*net.UDPConn) // the type for network udp4
	return nil
}

// run receives messages until ctx ends.
func (d *datagrams) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err, "step=receive datagrams")
		case err != nil:
			continue // an ICMP error for a datagram to an entry that has left
		}
		if m, ok := d.unseal(buf[:n]); ok {
			d.handle(m)
		}
	}
}

// send sends a message to an entry. It logs when sending starts to fail and when it works
// again.
func (d *datagrams) send(to netip.AddrPort, m *message) {
	if d.conn == nil {
		return
	}
	sealed, err := d.seal(m)
	if err == nil {
		_, err = d.conn.WriteToUDPAddrPort(sealed, to)
	}
	d.mu.Lock()
	changed := d.failing != (err != nil)
	d.failing = err != nil
	d.mu.Unlock()
	if changed {
		event.Log(context.Background(), d.log, slog.LevelWarn, event.DatagramNotSent,
			slog.String("peer", to.String()), slog.Bool("failing", err != nil), slog.Any("error", err))
	}
}

// seal encodes a message into a datagram: the authentication code, then the message.
func (d *datagrams) seal(m *message) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true) // field names would take most of a datagram
	if err := enc.Encode(m); err != nil {
		return nil, trace.Wrap(err, "step=encode message")
	}
	body := buf.Bytes()
	if len(body)+macBytes > maxDatagramBytes {
		return nil, trace.LimitExceeded("message of %d bytes exceeds the size of a datagram", len(body))
	}
	return append(d.mac(body), body...), nil
}

// unseal authenticates and decodes a datagram. Without authentication anyone who reaches the
// port could direct all requests to one server.
func (d *datagrams) unseal(datagram []byte) (message, bool) {
	if len(datagram) <= macBytes {
		return message{}, false
	}
	body := datagram[macBytes:]
	if !hmac.Equal(datagram[:macBytes], d.mac(body)) {
		return message{}, false
	}
	var m message
	if msgpack.Unmarshal(body, &m) != nil || m.From == "" || !m.valid() {
		return message{}, false
	}
	return m, true
}

// maxLoad bounds the counts of a message, above what any server has.
const maxLoad = 1 << 30

// valid reports whether the message has the fields of its kind, within their ranges.
func (m *message) valid() bool {
	for _, l := range m.Loads {
		if l.Server == "" || l.Running < 0 || l.Prefill < 0 || l.Running > maxLoad || l.Prefill > maxLoad || !l.Urgent.valid() {
			return false
		}
	}
	switch m.Kind {
	case kindLimitRequest, kindRefund:
		return m.Limit != nil && m.Limit.valid()
	case kindLeaseRequest:
		return m.Shares != nil && m.Shares.valid()
	case kindLeaseResponse:
		return m.Shares != nil && m.Shares.valid() && len(m.Shares.Saved) == len(m.Shares.Pools)
	case kindLimitResponse:
		return m.Answer != nil && m.Answer.Wait >= 0
	case kindReturnResponse:
		return m.Up >= 0
	case kindPlaceRequest:
		return m.Place != nil && m.Place.Brittle >= 0 && len(m.Loads) == 1
	default:
		return true
	}
}

// valid reports whether the fields are within their ranges.
func (r *limitRequest) valid() bool {
	return r.Workspace != "" && r.Cost >= 0 && r.Cost <= maxLoad // false for NaN
}

// valid reports whether the fields are within their ranges.
func (s *sharesMessage) valid() bool {
	for _, n := range s.Saved {
		if !(n >= 0 && n <= maxLoad) { // true for NaN
			return false
		}
	}
	return s.For > 0 && s.Part >= 0 && s.Part <= 1
}

// mac returns the authentication code of an encoded message.
func (d *datagrams) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, d.key)
	_, _ = mac.Write(body) // never fails
	return mac.Sum(nil)[:macBytes]
}
