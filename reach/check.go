package reach

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"savoryreel.example/savoryreel/policy/path"
)

// sign is what counts as an answer of a server in a check of the own path, the weaker first.
type sign uint8

const (
	// connects: the server takes a connection and does not reset it at once.
	connects sign = iota
	// answers: the server answers a request.
	answers
)

// Causes of a check, for the log.
const (
	causeDial   = "connections can't be opened"
	causeAnswer = "no answers"
)

const (
	// checkedServers is the number of servers that a check asks.
	checkedServers = 3
	// lingerTime is how long a new connection is watched for a reset.
	lingerTime = 20 * time.Millisecond
	// firstProbeTime is how long a check waits for one server before it asks others, also through
	// other entries.
	firstProbeTime = 150 * time.Millisecond
	// directHandicap is how much longer than through another entry a server may take to answer on
	// the own path.
	directHandicap = 100 * time.Millisecond
)

// check is a check of the own path in progress, for all that wait for its outcome.
type check struct {
	sign    sign
	done    chan struct{}
	outcome path.Outcome // set before done is closed
}

// runCheck checks the own path by servers other than the one at addr, and returns the outcome. Callers
// at the same time share one check.
func (d *Dialer) runCheck(ctx context.Context, addr string, s sign) path.Outcome {
	for {
		c := d.joinCheck(ctx, addr, s)
		select {
		case <-c.done:
		case <-ctx.Done():
			return path.Unknown
		}
		if c.outcome != path.Sound || c.sign >= s {
			return c.outcome
		}
		// It was content with less.
	}
}

// joinCheck returns the check in progress, or begins one.
func (d *Dialer) joinCheck(ctx context.Context, addr string, s sign) *check {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check == nil {
		d.check = &check{sign: s, done: make(chan struct{})}
		go d.finishCheck(context.WithoutCancel(ctx), d.check, addr)
	}
	return d.check
}

func (d *Dialer) finishCheck(ctx context.Context, c *check, addr string) {
	joinable := time.After(lingerTime)
	c.outcome = d.comparePaths(ctx, addr, c.sign)
	<-joinable // the requests that one crash breaks off share one check
	cause := causeDial
	if c.sign == answers {
		cause = causeAnswer
	}
	d.conclude(c.outcome, cause)
	d.mu.Lock()
	d.check = nil
	if c.outcome == path.Unknown {
		d.unknown = d.deps.Now()
	}
	d.mu.Unlock()
	close(c.done)
}

// unknownTTL is how long the outcome holds that no server answers anybody.
const unknownTTL = 500 * time.Millisecond

// nobodyAnswered reports whether a check has found so a short while ago.
func (d *Dialer) nobodyAnswered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deps.Now().Sub(d.unknown) < unknownTTL
}

// ServerGone reports whether a server that does not answer is gone: nobody gets an answer from it, and
// others are reached. Without that nothing is known.
func (d *Dialer) ServerGone(ctx context.Context, server Server) bool {
	err := d.probeThroughPeers(ctx, server)
	if err == nil || Gone(err) {
		return err != nil
	}
	return d.runCheck(ctx, server.Address, answers) == path.Sound
}

// othersAnswer reports whether a server other than the one at addr answers on the own path.
func (d *Dialer) othersAnswer(ctx context.Context, addr string) bool {
	servers := d.serversToCheck(addr)
	results := make(chan error, len(servers))
	for _, server := range servers {
		go func() { results <- d.probeDirect(ctx, server, answers) }()
	}
	for range servers {
		if <-results == nil {
			return true
		}
	}
	return false
}

// comparePaths asks servers on the own path, and through other entries if none gives the sign there.
func (d *Dialer) comparePaths(ctx context.Context, addr string, s sign) path.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers := d.serversToCheck(addr)
	if len(servers) == 0 {
		return d.askPeersOnly(ctx, addr)
	}
	direct := make(chan error, len(servers))
	first := make(chan error, 1)
	go func() {
		err := d.probeDirect(ctx, servers[0], s)
		first <- err
		direct <- err
	}()
	if succeeds(first, firstProbeTime) {
		return path.Sound
	}
	for _, server := range servers[1:] {
		go func() { direct <- d.probeDirect(ctx, server, s) }()
	}
	throughPeers := make(chan error, len(servers))
	for _, server := range servers {
		go func() { throughPeers <- d.probeThroughPeers(ctx, server) }()
	}
	return compare(direct, throughPeers, len(servers))
}

// succeeds reports whether a result arrives within a time and is a success.
func succeeds(result <-chan error, within time.Duration) bool {
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case err := <-result:
		return err == nil
	case <-timeout.C:
		return false
	}
}

// compare returns the outcome of a check with n servers: the path is lost if one answers through
// another entry and none on the own path.
func compare(direct, throughPeers <-chan error, n int) path.Outcome {
	var handicap <-chan time.Time
	timeout := time.NewTimer(2 * probeTimeout)
	defer timeout.Stop()
	for pending, pendingDirect := n, n; pending > 0 || pendingDirect > 0 || handicap != nil; {
		select {
		case err := <-direct:
			pendingDirect--
			if err == nil {
				return path.Sound
			}
		case err := <-throughPeers:
			pending--
			if err == nil && handicap == nil {
				handicap = time.After(directHandicap)
			}
		case <-handicap:
			return path.Lost
		case <-timeout.C:
			return path.Unknown
		}
	}
	return path.Unknown
}

// askPeersOnly checks the own path to the only server that is known. If nobody reaches it, it counts as
// gone.
func (d *Dialer) askPeersOnly(ctx context.Context, addr string) path.Outcome {
	c, err := d.dialThroughPeers(ctx, addr)
	if err != nil {
		return path.Sound
	}
	_ = c.Close()
	return path.Lost
}

// serversToCheck returns servers other than the one at addr.
func (d *Dialer) serversToCheck(addr string) []Server {
	var out []Server
	for _, s := range d.deps.Servers(checkedServers + 1) {
		if s.Address != addr && len(out) < checkedServers {
			out = append(out, s)
		}
	}
	return out
}

// probeDirect returns nil if a server gives a sign on a new connection of the own path.
func (d *Dialer) probeDirect(ctx context.Context, server Server, s sign) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := d.deps.DialDirect(ctx, server.Address)
	if err != nil {
		return err
	}
	defer nc.Close()
	if s == connects {
		err = staysOpen(nc)
	} else {
		err = probe(ctx, nc, server)
	}
	switch {
	case err != nil:
	case s == answers:
		d.heard(true)
	default:
		d.dialled()
	}
	return err
}

// probeThroughPeers returns nil if a server answers through another entry.
func (d *Dialer) probeThroughPeers(ctx context.Context, server Server) error {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	nc, err := d.dialThroughPeers(ctx, server.Address)
	if err != nil {
		return err
	}
	defer nc.Close()
	return probe(ctx, nc, server)
}

// staysOpen returns nil if the peer of a new connection does not end it at once.
func staysOpen(nc net.Conn) error {
	if err := nc.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return err
	}
	_, err := nc.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// probe sends the request of the server's health check and returns nil once the answer begins, whatever
// it says.
func probe(ctx context.Context, nc net.Conn, server Server) error {
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	target := server.ProbeTarget
	if target == "" {
		target = "/"
	}
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", target, server.Address); err != nil {
		return err
	}
	_, err := nc.Read(make([]byte, 1))
	return err
}

func shuffled[T any](list []T) []T {
	out := append([]T(nil), list...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
