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

// access is a write, or with an empty value a read.
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

// history collects the operations of all clients.
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

// client writes and reads at whichever replica, in turn, until done is closed.
// After an unknown outcome it goes on under a new name: its old operation may
// still take effect.
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

// The leader is cut off while clients write and read, comes back, and the next
// one is cut off in turn. A user would notice a read that shows an old value
// after a newer one was seen or acknowledged, or a write refused as not run that
// shows up later.
//
// Breaks when ReadBarrier does not wait in takeRead, or settle reports
// NotLeaderError for appended proposals.
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

// seen leaves out the writes of unknown outcome that no read has seen. A history
// is linearizable with them if it is without, as they may come last, and the
// other way, as nobody saw them; the search with them takes far too long.
func (h *history) checkedOperations() []porcupine.Operation {
	read := map[string]bool{}
	for _, o := range h.operations {
		read[o.Output.(string)] = true
	}
	return slices.DeleteFunc(h.operations, func(o porcupine.Operation) bool {
		return o.Return == math.MaxInt64 && !read[o.Input.(registerOp).value]
	})
}

// moreThan waits for further operations.
func (h *history) waitForOperations(c *cluster, n int) {
	count := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.operations)
	}
	goal := count() + n
	c.eventually("operations", func() bool { return count() > goal })
}
