package main

import (
	"fmt"
	"os"
	"time"

	"savoryreel.example/savoryreel/platform/standin"
)

// coreReplaced replaces three of the five machines of the core one after the other, and then has one more
// lose its disk, as the final fault. Less than a quarter of the requests that are sent recover_s later is
// served, though far more were before.
func coreReplaced(s *site) (verdict, error) {
	const (
		zones     = 3
		entries   = 3
		perSecond = 30
		recover   = 12 * time.Second
		judged    = 5 * time.Second
	)
	seeds := []int{1, 2, 3}
	core := make(map[int]*process)
	for n := 1; n <= 5; n++ {
		p, err := s.start(machine{role: "control", n: n, zone: 1 + n%zones, first: true, seeds: seeds})
		if err != nil {
			return verdict{}, err
		}
		core[n] = p
	}
	for i := range entries {
		if _, err := s.start(machine{role: "entry", n: 101 + i, zone: 1 + i%zones, first: true, seeds: seeds}); err != nil {
			return verdict{}, err
		}
	}
	s.setControls(1, 2, 3, 4, 5)
	var addrs []string
	for n := 1; n <= 5; n++ {
		addrs = append(addrs, s.addr(n, operatorPort))
	}
	for i := range 3 {
		server, err := standin.StartServer(standin.ServerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "web", Zone: fmt.Sprintf("z%d", 1+i), ControlAddrs: addrs, HeartbeatInterval: time.Second,
		})
		if err != nil {
			return verdict{}, err
		}
		s.onClose(server.Close)
	}
	// Each workspace may have ten times what it sends.
	tenants := []any{
		map[string]any{"name": "t1", "api_keys": []string{"key-1"}, "rate_per_s": 150, "burst": 150},
		map[string]any{"name": "t2", "api_keys": []string{"key-2"}, "rate_per_s": 150, "burst": 150},
	}
	conf := config(1, []any{route("/get/", "idempotent", "web", nil)}, []any{serviceOf("web")}, tenants)
	if err := s.replaceConfig(conf, 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := s.awaitEntries(entries, 15*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	c := s.startClients(perSecond, []string{"key-1", "key-2"}, "/get/x")
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

	live := []int{1, 2, 3, 4, 5}
	for i, when := range []time.Duration{4 * time.Second, 14 * time.Second, 24 * time.Second} {
		at(when)
		if !s.trouble {
			continue
		}
		lost, successor := live[0], 11+i
		core[lost].kill()
		live = append(live[1:], successor)
		time.Sleep(time.Second)
		p, err := s.start(machine{role: "control", n: successor, zone: core[lost].m.zone, seeds: live[1:4]})
		if err != nil {
			return verdict{}, err
		}
		core[successor] = p
		s.setControls(live...)
	}

	at(50 * time.Second)
	conf["version"] = 2
	if err := s.replaceConfig(conf, 4*time.Second); err != nil {
		return verdict{}, err
	}
	finalFault := time.Now()
	if s.trouble {
		p := core[live[0]]
		p.kill()
		if err := os.RemoveAll(s.dataDir(p.m.n)); err != nil {
			return verdict{}, err
		}
		time.Sleep(1300 * time.Millisecond)
		if _, err := s.start(machine{role: "control", n: p.m.n, zone: p.m.zone, seeds: live[1:4]}); err != nil {
			return verdict{}, err
		}
	}
	back := time.Now()
	time.Sleep(recover + judged)
	c.end()
	sentBefore, servedBefore := c.servedBetween(start, finalFault)
	sentAfter, servedAfter := c.servedBetween(back.Add(recover), back.Add(recover+judged))
	text := fmt.Sprintf("RECOVER: %d of %d requests served before the final fault, %d of %d of those sent later than 12 s after the machines were back",
		servedBefore, sentBefore, servedAfter, sentAfter)
	if 4*servedBefore < sentBefore || sentAfter == 0 {
		return verdict{}, fmt.Errorf("too few were served before: %s", text)
	}
	return verdict{broken: 4*servedAfter < sentAfter, text: text}, nil
}
