package host_test

import (
	"context"
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/replica/host"
)

const registerKey = "register"

// registerOp is a write of value, or a read if value is empty.
type registerOp struct{ value string }

var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if value := input.(registerOp).value; value != "" {
			return true, value
		}
		return output.(string) == state.(string), state
	},
}

// history records the operations of all clients.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) add(client int, input registerOp, call time.Duration, output string, outcomeKnown bool) {
	end := int64(time.Since(h.start))
	if !outcomeKnown {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: int64(call), Output: output, Return: end,
	})
}

// client alternates writes and reads, at each replica in turn, until done is closed.
// After an unknown outcome it continues as a new client, since its previous operation
// may still take effect.
func (h *history) client(name int, nodes []*node, done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		n := nodes[(name+i)%len(nodes)]
		if _, _, leads := n.HoldsLease(); !leads && i%7 != 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		call := time.Since(h.start)
		if i%2 == 0 {
			name = h.write(ctx, n, name, i, call)
		} else if n.ReadBarrier(ctx) == nil {
			h.add(name, registerOp{}, call, n.machine.get(registerKey), true)
		}
		cancel()
	}
}

func (h *history) write(ctx context.Context, n *node, name, i int, call time.Duration) int {
	value := strconv.Itoa(name) + "." + strconv.Itoa(i)
	data, err := msgpack.Marshal(put{Key: registerKey, Value: value})
	if err != nil {
		panic(err)
	}
	_, err = n.Propose(ctx, kindPut, data)
	switch {
	case err == nil:
		h.add(name, registerOp{value}, call, "", true)
	case errors.Is(err, host.ErrOutcomeUnknown):
		h.add(name, registerOp{value}, call, "", false)
		return name + 100
	}
	return name
}

// Partitions one leader after the other while clients write and read. Guards against
// a read of an old value after a newer one was read or acknowledged, and against a
// write that takes effect after it was reported as not appended.
//
// Fails if ReadBarrier doesn't wait for a majority (startRead), or failStaleRequests
// returns NotLeaderError for appended proposals.
func TestHistoryIsLinearizable(t *testing.T) {
	c := newCluster(t, fastConfig, 1, 2, 3)
	c.leader()
	nodes := []*node{c.nodes[1], c.nodes[2], c.nodes[3]}
	h := &history{start: time.Now()}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for name := range 4 {
		clients.Go(func() { h.client(name, nodes, done) })
	}
	for range 3 {
		old := c.leader().Status().ID
		h.waitForOperations(c, 100)
		c.net.setPartitioned(old, true)
		c.eventually("another leader", func() bool {
			_, _, firstLeads := c.nodes[1+old%3].HoldsLease()
			_, _, secondLeads := c.nodes[1+(old+1)%3].HoldsLease()
			return firstLeads || secondLeads
		})
		c.net.setPartitioned(old, false)
	}
	h.waitForOperations(c, 100)
	close(done)
	clients.Wait()
	operations := h.checkedOperations()
	result := porcupine.CheckOperationsTimeout(register, operations, time.Minute)
	t.Logf("%d operations: %s", len(operations), result)
	require.Equal(t, porcupine.Ok, result)
}

// checkedOperations returns the operations without the writes of unknown outcome that
// no read returned. These don't change whether the history is linearizable, since they
// may be ordered last, but they make the check far too slow.
func (h *history) checkedOperations() []porcupine.Operation {
	read := map[string]bool{}
	for _, o := range h.operations {
		read[o.Output.(string)] = true
	}
	return slices.DeleteFunc(h.operations, func(o porcupine.Operation) bool {
		return o.Return == math.MaxInt64 && !read[o.Input.(registerOp).value]
	})
}

// waitForOperations waits until more than n further operations are recorded.
func (h *history) waitForOperations(c *cluster, n int) {
	count := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.operations)
	}
	goal := count() + n
	c.eventually("operations", func() bool { return count() > goal })
}
