package main

import (
	"fmt"
	"time"

	"savoryreel.example/savoryreel/platform/standin"
)

// coreRenewed replaces three of the five machines of the core one after the other, and has an entry end ten
// seconds later. All servers have one version. The streams that the entry carried are refused where their
// clients take them up, while new streams begin there. Without trouble the core stays as it is; the entry
// ends all the same.
func coreRenewed(s *site) (verdict, error) {
	const (
		controls = 5
		entries  = 3
		servers  = 3
		streams  = 60
		events   = 1000 // some five seconds
		lasts    = 12 * time.Second
		leastOf  = 12 // "of 12 or more streams"
	)
	core, running, err := s.startSystem(controls, entries, "")
	if err != nil {
		return verdict{}, err
	}
	for i := range servers {
		server, err := standin.StartServer(standin.ServerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "chat", Zone: fmt.Sprintf("z%d", 1+i), ControlAddrs: s.operatorAddrs(controls),
			Slots: 64, Version: standin.Version{Name: "v1"}, NamesVersion: true, HeartbeatInterval: 1200 * time.Millisecond,
		})
		if err != nil {
			return verdict{}, err
		}
		s.onClose(server.Close)
	}
	conf := config(1, []any{route("/chat/", "streaming", "chat", map[string]any{"resumable": true, "timeout_ms": 15000})},
		[]any{serviceOf("chat")}, []any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}}})
	if err := s.replaceConfig(conf, 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := s.awaitEntries(entries, 15*time.Second); err != nil {
		return verdict{}, err
	}
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

	live := []int{1, 2, 3, 4, 5}
	for i, when := range []time.Duration{4 * time.Second, 14 * time.Second, 24 * time.Second} {
		at(when)
		if !s.trouble {
			continue
		}
		lost, successor := live[0], 11+i
		core[lost-1].kill()
		live = append(live[1:], successor)
		time.Sleep(time.Second)
		if _, err := s.start(machine{role: "control", n: successor, zone: core[lost-1].m.zone, seeds: live[1:4]}); err != nil {
			return verdict{}, err
		}
		s.setControls(live...)
	}

	at(34 * time.Second) // the core is stable for nine seconds
	broken, wait := s.startStreams(streams, events, "/chat/stream/", "key-1", lasts)
	time.Sleep(2 * time.Second)
	running[0].kill()
	time.Sleep(300 * time.Millisecond)
	begun := 0
	fresh, waitFresh := s.startStreamsAt(s.entriesBut(running[0]), streams/3, 20, "/chat/stream/", "key-1", lasts)
	wait()
	waitFresh()
	for _, t := range fresh {
		if t.last > 0 {
			begun++
		}
	}
	takenUp, goneOn := 0, 0
	for _, t := range broken {
		if t.takenUp {
			takenUp++
		}
		if t.goneOn {
			goneOn++
		}
	}
	text := fmt.Sprintf("LOST: %d of %d streams that were taken up went on; %d of %d new streams began meanwhile", goneOn, takenUp, begun, len(fresh))
	if takenUp < leastOf || begun == 0 {
		return verdict{}, fmt.Errorf("too few streams: %s", text)
	}
	return verdict{broken: 2*goneOn*len(fresh) < takenUp*begun, text: text}, nil
}
