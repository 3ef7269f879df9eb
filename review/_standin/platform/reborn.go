package main

import (
	"fmt"
	"time"

	"savoryreel.example/savoryreel/platform/standin"
)

// serverReborn cuts one of five servers off from control, not from the entries. Behind the cut the server
// ends and starts again under its id, with the next version of its software. Then another server of the old
// version ends. Its streams go on at the one that has the new version, within their answers.
func serverReborn(s *site) (verdict, error) {
	const (
		controls = 5
		servers  = 5
		events   = 800 // some four seconds
		allowed  = 2   // "more than two streams" break the rule
		lasts    = 10 * time.Second
	)
	if _, _, err := s.startSystem(controls, 3, ""); err != nil {
		return verdict{}, err
	}
	var gates []*gate
	var cutAddrs []string
	for _, addr := range s.operatorAddrs(controls) {
		g, err := s.newGate(addr)
		if err != nil {
			return verdict{}, err
		}
		gates, cutAddrs = append(gates, g), append(cutAddrs, g.address)
	}
	config1 := config(1, []any{route("/chat/", "streaming", "chat", map[string]any{"resumable": true, "timeout_ms": 15000})},
		[]any{serviceOf("chat")}, []any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}}})
	start := func(i int, version, address string) (*standin.Server, error) {
		cfg := standin.ServerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "chat", Zone: fmt.Sprintf("z%d", 1+i%3), ControlAddrs: s.operatorAddrs(controls), Address: address,
			Slots: 64, Version: standin.Version{Name: version}, NamesVersion: true, HeartbeatInterval: 1200 * time.Millisecond,
		}
		if i == 0 {
			cfg.ControlAddrs = cutAddrs
		}
		server, err := standin.StartServer(cfg)
		if err != nil {
			return nil, err
		}
		s.log("server i-%d starts as %s at %s", i, version, server.ListenAddress())
		s.onClose(server.Close)
		return server, nil
	}
	var list []*standin.Server
	for i := range servers {
		server, err := start(i, "v1", "")
		if err != nil {
			return verdict{}, err
		}
		list = append(list, server)
	}
	if err := s.replaceConfig(config1, 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := s.awaitEntries(3, 15*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // all servers are known

	ending := time.Now().Add(lasts)
	load := s.startStreamLoad(60, events, "/chat/stream/", "key-1", ending)
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.log("server i-0 is cut off from control")
		for _, g := range gates {
			g.set(true)
		}
		time.Sleep(300 * time.Millisecond)
		address := list[0].ListenAddress()
		s.log("server i-0 ends")
		list[0].Close()
		time.Sleep(200 * time.Millisecond)
		if _, err := start(0, "v2", address); err != nil {
			return verdict{}, err
		}
		time.Sleep(2800 * time.Millisecond)
		s.log("server i-1 ends")
		list[1].Close()
		time.Sleep(1200 * time.Millisecond)
		s.log("server i-0 reaches control again")
		for _, g := range gates {
			g.set(false)
		}
	}
	all := load()
	streams := len(all)
	n, whole := joined(all)
	ended := 0
	for _, t := range all {
		if t.whole {
			ended++
		}
	}
	text := fmt.Sprintf("ORDER: %d of %d streams hold events of two versions of the service, %d of them as a whole answer; %d streams are whole", n, streams, whole, ended)
	if ended < streams/2 {
		return verdict{}, fmt.Errorf("too few streams ended: %s", text)
	}
	return verdict{broken: n > allowed, text: text}, nil
}
