package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/link"
)

// MethodHold is the link call with which a member passes a record to another one, which has applied it
// when it replies.
const MethodHold = "membership.hold"

const (
	// maxHolders is how many other members are to hold a leave, where there are enough.
	maxHolders = 2
	// maxHoldCalls is how many are asked at once: some may be down.
	maxHoldCalls = 2 * maxHolders
)

// ErrNotHeld reports that too few other members hold a record.
var ErrNotHeld = errors.New("too few other members hold the record")

// holdReply says that the receiver holds the record. It is encoded as an empty array.
type holdReply struct{}

// holdersNeeded returns how many other members are to hold a leave in a group of members: with this one
// more than half, but no more than maxHolders.
func holdersNeeded(members int) int { return min(members/2, maxHolders) }

// Hold returns nil once enough other members hold the present state of a backend server, so that it
// outlasts this one. It returns an error if ctx ends before, or too few can be reached.
func (n *Node) Hold(ctx context.Context, server string) error {
	body, flags, err := n.holdRequest(server)
	if body == nil {
		return err
	}
	others := n.otherMembers()
	needed := holdersNeeded(len(others) + 1)
	asked := others[:min(len(others), maxHoldCalls)]
	outcomes := make(chan error, len(asked))
	for _, m := range asked {
		go func() {
			_, err := link.Call[holdReply](ctx, n.pool, m.LinkAddress, MethodHold, body)
			outcomes <- trace.Wrap(err, "step=hold record peer=%s", m.ID)
		}()
	}
	var errs []error
	for held := 0; held < needed; {
		if len(asked)-len(errs) < needed {
			return errors.Join(append([]error{ErrNotHeld}, errs...)...)
		}
		if err := <-outcomes; err != nil {
			errs = append(errs, err)
			continue
		}
		held++
	}
	n.markHeld(server, flags)
	return nil
}

// holdRequest returns the message that passes a server's record, and the flags of its state; nil if the
// server is not known, or if that state is held.
func (n *Node) holdRequest(server string) (body []byte, flags uint8, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.core.lookup(recordServer, server)
	if r == nil || r.heldFlags == r.status.Flags {
		return nil, 0, nil
	}
	m := &message{Kind: kindReply} // the receiver expects no further ones
	appendDelta(m, r, deltaFull)
	data, err := encodeBounded(m, n.cfg.MaxMessageBytes)
	if err != nil {
		return nil, 0, err
	}
	body, err = n.core.compressor.compress(data)
	return body, r.status.Flags, err
}

func (n *Node) markHeld(server string, flags uint8) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.core.lookup(recordServer, server); r != nil && r.status.Flags == flags {
		r.heldFlags = flags
	}
}

// otherMembers returns the other members in random order, suspected ones last.
func (n *Node) otherMembers() []*instance.Member {
	var sound, suspected []*instance.Member
	for _, m := range n.view.Members("") {
		switch {
		case m.ID == n.cfg.Self.ID:
		case m.Suspected:
			suspected = append(suspected, m)
		default:
			sound = append(sound, m)
		}
	}
	rand.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	return append(sound, suspected...)
}

// receiveHold applies a record that another member passes with MethodHold.
func (n *Node) receiveHold(_ context.Context, from link.PeerInfo, body []byte) (holdReply, error) {
	m, err := decodeMessage(body)
	if err != nil {
		return holdReply{}, trace.Wrap(err, "peer=%s", from.ID)
	}
	n.step(func(now time.Time) {
		for _, f := range m.Fulls {
			n.core.receiveHeld(sender{ID: from.ID, Address: from.Address}, f, now)
		}
	})
	return holdReply{}, nil
}
