package fleet

import (
	"math"

	"github.com/gravitational/trace"
)

// Fence is a fencing token: the leader's term in the upper 32 bits, the order's
// sequence number within the term in the lower 32. A term has only one leader, and
// a restarted replica never leads in the same term again, so the sequence number
// need not be stored.
type Fence uint64

// sequenceBits is the number of bits of a Fence for the sequence number.
const sequenceBits = 32

// NewFence packs a term and a sequence number. It fails if one exceeds 32 bits, as
// an overflow into the term would equal a token of a later leader.
func NewFence(term, sequence uint64) (Fence, error) {
	if term > math.MaxUint32 || sequence > math.MaxUint32 {
		return 0, trace.LimitExceeded("fence: term %d or sequence %d exceeds 32 bits", term, sequence)
	}
	return Fence(term<<sequenceBits | sequence), nil
}

// Term returns the term of the leader that sent the order.
func (f Fence) Term() uint64 { return uint64(f >> sequenceBits) }

// Sequence returns the order's sequence number within the term.
func (f Fence) Sequence() uint64 { return uint64(f & math.MaxUint32) }
