package link

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Method names under which other traffic is counted.
const (
	MethodHeartbeat = "heartbeat"
	MethodHandshake = "handshake"
	MethodControl   = "control" // cancel frames, unexpected frames, unknown methods
)

// MethodTraffic holds the traffic of one method since the start of the process.
// Bytes include frame headers.
type MethodTraffic struct {
	Method           string
	MessagesSent     uint64
	BytesSent        uint64
	MessagesReceived uint64
	BytesReceived    uint64
}

// Traffic counts messages and bytes by method. Use NewTraffic; the zero value is
// not valid. A Server and a Pool may share one Traffic.
type Traffic struct {
	methods sync.Map // string (method) to *methodCounter
	set     *metrics.Set
}

type methodCounter struct {
	messagesSent, bytesSent, messagesReceived, bytesReceived atomic.Uint64
}

// NewTraffic returns zero counters. If set is not nil, it also publishes them there
// as savoryreel_link_messages_total and savoryreel_link_bytes_total with the labels
// method and direction.
func NewTraffic(set *metrics.Set) *Traffic {
	return &Traffic{set: set}
}

// Methods returns a copy of the counters, sorted by method.
func (t *Traffic) Methods() []MethodTraffic {
	var out []MethodTraffic
	t.methods.Range(func(k, v any) bool {
		c := v.(*methodCounter)
		out = append(out, MethodTraffic{
			Method:           k.(string),
			MessagesSent:     c.messagesSent.Load(),
			BytesSent:        c.bytesSent.Load(),
			MessagesReceived: c.messagesReceived.Load(),
			BytesReceived:    c.bytesReceived.Load(),
		})
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Method < out[j].Method })
	return out
}

// Method returns the counters of one method.
func (t *Traffic) Method(name string) MethodTraffic {
	for _, m := range t.Methods() {
		if m.Method == name {
			return m
		}
	}
	return MethodTraffic{Method: name}
}

func (t *Traffic) sent(method string, bytes int) {
	c := t.counter(method)
	c.messagesSent.Add(1)
	c.bytesSent.Add(uint64(bytes))
}

func (t *Traffic) received(method string, bytes int) {
	c := t.counter(method)
	c.messagesReceived.Add(1)
	c.bytesReceived.Add(uint64(bytes))
}

func (t *Traffic) counter(method string) *methodCounter {
	if c, ok := t.methods.Load(method); ok {
		return c.(*methodCounter)
	}
	c, loaded := t.methods.LoadOrStore(method, &methodCounter{})
	if !loaded {
		t.publish(method, c.(*methodCounter))
	}
	return c.(*methodCounter)
}

func (t *Traffic) publish(method string, c *methodCounter) {
	if t.set == nil {
		return
	}
	gauge := func(name, direction string, v *atomic.Uint64) {
		fullName := fmt.Sprintf("savoryreel_link_%s_total{method=%q,direction=%q}", name, method, direction)
		t.set.GetOrCreateGauge(fullName, func() float64 { return float64(v.Load()) })
	}
	gauge("messages", "sent", &c.messagesSent)
	gauge("bytes", "sent", &c.bytesSent)
	gauge("messages", "received", &c.messagesReceived)
	gauge("bytes", "received", &c.bytesReceived)
}
