package fleet

import (
	"math"

	"github.com/gravitational/trace"
)

// Fence is a fencing number: the leader's term in the upper 32 bits, the number
// of the order within the term in the lower. A term has one leader, and a
// replica that restarts never leads in a term again, so the sequence need not
// be kept on disk.
type Fence uint64

// sequenceBits is how many bits of a Fence count the orders of one term.
const sequenceBits = 32

// NewFence packs a term and a sequence. It refuses what does not fit: a
// sequence that ran over into the term would equal a later leader's numbers.
func NewFence(term, sequence uint64) (Fence, error) {
	if term > math.MaxUint32 || sequence > math.MaxUint32 {
		return 0, trace.LimitExceeded("fence: term %d or sequence %d is beyond 32 bits", term, sequence)
	}
	return Fence(term<<sequenceBits | sequence), nil
}

// Term returns the term of the leader that gave the order.
func (f Fence) Term() uint64 { return uint64(f >> sequenceBits) }

// Sequence returns the order's number within the term.
func (f Fence) Sequence() uint64 { return uint64(f & math.MaxUint32) }
