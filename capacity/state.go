package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/control"
	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/instance"
	"savoryreel.example/savoryreel/ledger"
	"savoryreel.example/savoryreel/policy/route"
	"savoryreel.example/savoryreel/replica"
)

// Catalogue measures the transfer, memory and change of a catalogue by its number
// of workspaces, with as many services.
func Catalogue(_ context.Context, sizes ...int) (*Table, error) {
	t := &Table{SizeLabel: "workspaces and services", Columns: []string{"B/transfer", "memory B", "decode µs", "apply a change µs"}}
	for _, n := range sizes {
		values, err := measureCatalogue(n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureCatalogue returns one row for n workspaces and n services.
func measureCatalogue(n int) ([]float64, error) {
	const rounds = 20
	c := limitedCatalogue(n)
	for i := range n {
		c.Services = append(c.Services, testService(i))
	}
	enc, err := msgpack.Marshal(&api.CatalogueReply{Index: 1, Version: 1, Catalogue: c})
	if err != nil {
		return nil, trace.Wrap(err, "step=encode catalogue")
	}
	memoryBefore := memoryInUse()
	var reply api.CatalogueReply
	if err := msgpack.Unmarshal(enc, &reply); err != nil {
		return nil, trace.Wrap(err, "step=decode catalogue")
	}
	memory := memoryInUse() - memoryBefore
	runtime.KeepAlive(&reply)
	decodeTime := cpuTime()
	for range rounds {
		var decoded api.CatalogueReply
		if err := msgpack.Unmarshal(enc, &decoded); err != nil {
			return nil, trace.Wrap(err, "step=decode catalogue")
		}
	}
	decodeTime = cpuTime() - decodeTime
	state := contract.NewState()
	applyTime := cpuTime()
	for i := range rounds {
		c.Workspaces[0].Weight = 1 + i
		r := state.Apply(contract.Change{ID: fmt.Sprint(i), Kind: contract.ChangeApply, Base: state.Version(), Catalogue: &c})
		if r.Code != contract.CodeAccepted {
			return nil, fmt.Errorf("change refused: %s", r.Reason)
		}
	}
	applyTime = cpuTime() - applyTime
	return []float64{float64(len(enc)), memory, decodeTime.Seconds() * 1e6 / rounds, applyTime.Seconds() * 1e6 / rounds}, nil
}

// Ledger measures a control replica's state machine by the number of records in
// the ledger, each with a stored answer of 200 bytes.
func Ledger(_ context.Context, sizes ...int) (*Table, error) {
	t := &Table{SizeLabel: "ledger records", Columns: []string{"memory B", "µs/command", "snapshot B", "snapshot ms", "restore ms"}}
	for _, n := range sizes {
		values, err := measureLedger(n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureLedger returns one row for n records.
func measureLedger(n int) ([]float64, error) {
	memoryBefore := memoryInUse()
	m := control.NewMachine(nil, nil)
	cpuUsed := cpuTime()
	for i := range n {
		if err := applyCall(m, i); err != nil {
			return nil, err
		}
	}
	cpuUsed = cpuTime() - cpuUsed
	memory := memoryInUse() - memoryBefore
	startTime := time.Now()
	snapshot, err := m.Snapshot()
	if err != nil {
		return nil, err
	}
	snapshotTime := time.Since(startTime)
	startTime = time.Now()
	if err := control.NewMachine(nil, nil).Restore(snapshot); err != nil {
		return nil, err
	}
	restoreTime := time.Since(startTime)
	runtime.KeepAlive(m)
	return []float64{
		memory, cpuUsed.Seconds() * 1e6 / float64(2*n), float64(len(snapshot)),
		snapshotTime.Seconds() * 1e3, restoreTime.Seconds() * 1e3,
	}, nil
}

// applyCall applies the commands that begin and finish call i.
func applyCall(m *control.Machine, i int) error {
	begin := ledgerCommand(i)
	finish := begin
	finish.Op, finish.Answer = ledger.OpFinish, &ledger.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
	for k, c := range []ledger.Command{begin, finish} {
		enc, err := msgpack.Marshal(&c)
		if err != nil {
			return trace.Wrap(err, "step=encode command")
		}
		if _, err := m.Apply(replica.Entry{Index: uint64(2*i + k + 1), Term: 1, Kind: uint8(api.KindLedger), Data: enc}); err != nil {
			return err
		}
	}
	return nil
}

// ledgerCommand returns the command that begins call i.
func ledgerCommand(i int) ledger.Command {
	return ledger.Command{
		Op: ledger.OpBegin, Key: ledger.Key{Workspace: "workspace-0001", Value: fmt.Sprintf("key-%032d", i)},
		Fingerprint: uint64(i), RequestID: fmt.Sprintf("r1-%032d", i), Owner: ledger.Owner{Entry: "entry-001", Incarnation: 1},
		Now: time.Now().UnixMilli(),
	}
}

// Servers measures the memory of an entry's view and router, and the processor
// time of a routing decision, by the number of backend servers of one model. A
// decision has eight prefixes, none of them cached.
func Servers(_ context.Context, sizes ...int) (*Table, error) {
	t := &Table{SizeLabel: "backend servers", Columns: []string{"view B", "router B", "decision µs"}}
	for _, n := range sizes {
		values, err := measureServers(n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measureServers returns one row for n servers.
func measureServers(n int) ([]float64, error) {
	const decisions = 20_000
	memoryBefore := memoryInUse()
	view := instance.NewView()
	for i := range n {
		view.Apply([]instance.Update{{Server: &instance.Server{Announcement: testAnnouncement(i), HeardBy: "entry-001"}}})
	}
	memoryWithView := memoryInUse()
	router, err := route.New(route.DefaultConfig())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	for _, s := range view.AllServers() {
		router.Announce(&s.Announcement, now, now)
	}
	memoryWithRouter := memoryInUse()
	cpuUsed := cpuTime()
	for i := range decisions {
		router.Choose(&route.Request{
			Now: now, Seed: uint64(i), PromptTokens: 500, Zone: "z1", Region: "r1",
			Prefixes: []uint64{uint64(i), 1, 2, 3, 4, 5, 6, 7},
		})
	}
	cpuUsed = cpuTime() - cpuUsed
	runtime.KeepAlive(view)
	runtime.KeepAlive(router)
	return []float64{memoryWithView - memoryBefore, memoryWithRouter - memoryWithView, cpuUsed.Seconds() * 1e6 / decisions}, nil
}

// testAnnouncement returns the announcement of backend server i. Nothing listens
// at its address.
func testAnnouncement(i int) instance.Announcement {
	return instance.Announcement{
		ID: fmt.Sprintf("gpu-server-%04d", i), Incarnation: 1, Sequence: 1, Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Region: "r1", Zone: fmt.Sprintf("z%d", 1+i%3), Class: "g1",
		State: instance.StateServing, Model: model, Slots: 64,
	}
}

// Prefixes measures the index of cached prefixes and the events that fill it, by
// the number of prefixes, 1,000 for each server. That is close to the index's
// maximum for one server.
func Prefixes(_ context.Context, sizes ...int) (*Table, error) {
	t := &Table{SizeLabel: "cached prefixes", Columns: []string{"memory B", "event µs", "event B as JSON"}}
	for _, n := range sizes {
		values, err := measurePrefixes(n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, Row{float64(n), values})
	}
	return t, nil
}

// measurePrefixes returns one row for n prefixes.
func measurePrefixes(n int) ([]float64, error) {
	const perServer = 1000
	servers := max(1, n/perServer)
	memoryBefore := memoryInUse()
	index := route.NewPrefixIndex()
	cpuUsed := cpuTime()
	for i := range n {
		event := instance.CacheEvent{Sequence: uint64(i/servers + 1), Prefix: uint64(i) * 0x9e3779b97f4a7c15, Stored: true, Tokens: 500}
		index.Apply(testAnnouncement(i%servers).ID, 1, event)
	}
	cpuUsed = cpuTime() - cpuUsed
	memory := memoryInUse() - memoryBefore
	enc, err := json.Marshal(instance.CacheEvent{Sequence: 10_000, Prefix: 0x9e3779b97f4a7c15, Stored: true, Tokens: 500})
	if err != nil {
		return nil, trace.Wrap(err, "step=encode event")
	}
	if index.Len() != n {
		return nil, fmt.Errorf("%d of %d prefixes indexed", index.Len(), n)
	}
	return []float64{memory, cpuUsed.Seconds() * 1e6 / float64(n), float64(len(enc))}, nil
}
