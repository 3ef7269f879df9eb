package main

import (
	"fmt"
	"time"

	"savoryreel.example/savoryreel/platform/standin"
)

// entriesReplaced loses the three entries for good, one after the other, and adds a machine with another name
// and address for each a second later. Then all processes end at once, as the final fault. No request is
// served from the loss of the third entry on.
func entriesReplaced(s *site) (verdict, error) {
	const (
		controls  = 5
		entries   = 3
		perSecond = 30
		recover   = 12 * time.Second
		judged    = 5 * time.Second
		gap       = 6 * time.Second
	)
	core, running, err := s.startSystem(controls, entries, "")
	if err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		server, err := standin.StartServer(standin.ServerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "web", Zone: fmt.Sprintf("z%d", 1+i), ControlAddrs: s.operatorAddrs(controls), HeartbeatInterval: time.Second,
		})
		if err != nil {
			return verdict{}, err
		}
		s.onClose(server.Close)
	}
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
	begun := time.Now()
	time.Sleep(10 * time.Second)
	for i, p := range running {
		if s.trouble {
			p.kill()
			time.Sleep(time.Second)
			next, err := s.start(machine{role: "entry", n: firstEntry + 10 + i, zone: p.m.zone, seeds: p.m.seeds})
			if err != nil {
				return verdict{}, err
			}
			running[i] = next
		}
		time.Sleep(gap)
	}
	conf["version"] = 2
	if err := s.replaceConfig(conf, 4*time.Second); err != nil {
		return verdict{}, err
	}
	finalFault := time.Now()
	all := append(core, running...)
	for _, p := range all {
		p.kill()
	}
	time.Sleep(900 * time.Millisecond)
	for _, p := range all {
		m := p.m
		m.first = false
		if _, err := s.start(m); err != nil {
			return verdict{}, err
		}
	}
	back := time.Now()
	time.Sleep(recover + judged)
	c.end()
	sentBefore, servedBefore := c.servedBetween(begun, finalFault)
	sentAfter, servedAfter := c.servedBetween(back.Add(recover), back.Add(recover+judged))
	text := fmt.Sprintf("RECOVER: %d of %d requests served before the final fault, %d of %d of those sent later than 12 s after the machines were back",
		servedBefore, sentBefore, servedAfter, sentAfter)
	if 4*servedBefore < sentBefore || sentAfter == 0 {
		return verdict{}, fmt.Errorf("too few were served before: %s", text)
	}
	return verdict{broken: 4*servedAfter < sentAfter, text: text}, nil
}
