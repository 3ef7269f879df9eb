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
)

const (
	// maxDatagram is the longest datagram, in bytes: it fits a packet of any network.
	maxDatagramBytes = 1400
	// sealBytes is the length of the code that shows that a datagram comes from this
	// system.
	macBytes = 16
)

// datagrams sends messages to other entries and takes theirs. One that is lost costs
// what it cost without it, so nobody waits for the receipt.
type datagrams struct {
	key    []byte
	log    *slog.Logger
	handle func(message)
	conn   *net.UDPConn

	mu      sync.Mutex
	failing bool
}

// message is what one entry tells or asks another.
type message struct {
	From string // the entry's name
	Life uint64 // of that entry
	// Sequence numbers the messages of a life. An answer bears that of its question.
	Sequence uint64
	Kind     messageKind
	Loads    []serverLoad
	Limit    *limitRequest
	Answer   *limitResponse
	Shares   *sharesMessage
	Held     bool          // shares that are given back
	Up       time.Duration // since the sender's start
}

// messageKind says what a message is.
type messageKind uint8

const (
	// askLoads asks what others have running at the servers of Loads, whose figures
	// don't count.
	kindLoadsRequest messageKind = iota + 1
	// tellLoads answers it.
	kindLoadsResponse
	// noteLoads tells a server's owner what the sender has running there now.
	kindLoadsReport
	// askLimit asks the keeper of a pool of a workspace's limit to let a request in.
	kindLimitRequest
	// tellLimit answers it.
	kindLimitResponse
	// noteRefund gives back what a request that did not run had taken.
	kindRefund
	// askShares asks an entry for its shares of pools.
	kindLeaseRequest
	// lendShares answers it.
	kindLeaseResponse
	// askBack asks an entry to give back what the life before the sender's had lent it.
	kindReturnRequest
	// gaveBack answers it.
	kindReturnResponse
)

// serverLoad is what runs and waits at a backend server.
type serverLoad struct {
	Server  string
	Running int
	Prefill int  // prompt tokens of those that have no answer yet
	Down    bool // it was found not to be there any more
}

func newDatagrams(key string, log *slog.Logger, handle func(message)) *datagrams {
	return &datagrams{key: []byte(key), log: log, handle: handle}
}

// open takes the socket at addr.
func (d *datagrams) open(ctx context.Context, addr string) error {
	var cfg net.ListenConfig
	conn, err := cfg.ListenPacket(ctx, "udp4", addr)
	if err != nil {
		return trace.Wrap(err, "step=open datagram socket address=%s", addr)
	}
	event.Log(ctx, d.log, slog.LevelInfo, event.ListenerOpen, slog.String("purpose", "datagrams"), slog.String("address", addr))
	d.conn = conn.(*net.UDPConn) // what the network udp4 gives
	return nil
}

// run takes messages until ctx ends.
func (d *datagrams) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() }) // nothing is lost with it
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err, "step=take datagrams")
		case err != nil:
			continue // one of ours was turned away: that entry has gone
		}
		if m, ok := d.unseal(buf[:n]); ok {
			d.handle(m)
		}
	}
}

// send sends a message to an entry. It logs when sending begins to fail, and when it
// works again.
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

// seal puts a message into a datagram: the code, then the message.
func (d *datagrams) seal(m *message) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true) // names would take most of a datagram
	if err := enc.Encode(m); err != nil {
		return nil, trace.Wrap(err, "step=encode message")
	}
	body := buf.Bytes()
	if len(body)+macBytes > maxDatagramBytes {
		return nil, trace.LimitExceeded("a message of %d bytes is longer than a datagram", len(body))
	}
	return append(d.mac(body), body...), nil
}

// unseal reads a datagram. One that is not from this system, or can't be read, says
// nothing: otherwise whoever reaches the port could have all requests sent to one
// server.
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

// mostLoad bounds the counts of a message: more than any server has.
const maxLoad = 1 << 30

// sane reports whether the counts are such as a server can have.
func (m *message) valid() bool {
	for _, l := range m.Loads {
		if l.Server == "" || l.Running < 0 || l.Prefill < 0 || l.Running > maxLoad || l.Prefill > maxLoad {
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
	default:
		return true
	}
}

// sane reports whether the question is one that an entry asks.
func (r *limitRequest) valid() bool {
	return r.Workspace != "" && r.Cost >= 0 && r.Cost <= maxLoad // not for NaN either
}

// sane reports whether shares are such as an entry has.
func (s *sharesMessage) valid() bool {
	for _, n := range s.Saved {
		if !(n >= 0 && n <= maxLoad) { // not for NaN either
			return false
		}
	}
	return s.For > 0 && s.Part >= 0 && s.Part <= 1
}

func (d *datagrams) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, d.key)
	_, _ = mac.Write(body) // a hash takes everything
	return mac.Sum(nil)[:macBytes]
}
