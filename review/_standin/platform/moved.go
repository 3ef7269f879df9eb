package main

import (
	"fmt"
	"time"

	"savoryreel.example/savoryreel/platform/standin"
)

// routeMoved has a configuration move a route of streams to another service, and then an entry end. The
// clients take up the streams that it carried at other entries, where they go on at the other service.
func routeMoved(s *site) (verdict, error) {
	const (
		controls = 5
		entries  = 3
		servers  = 3 // of each service
		streams  = 45
		events   = 1200 // some six seconds
		allowed  = 2
	)
	_, running, err := s.startSystem(controls, entries, "")
	if err != nil {
		return verdict{}, err
	}
	for _, service := range []string{"chat-a", "chat-b"} {
		for i := range servers {
			server, err := standin.StartServer(standin.ServerConfig{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: fmt.Sprintf("z%d", 1+i), ControlAddrs: s.operatorAddrs(controls),
				Slots: 64, Version: standin.Version{Name: service + "-v1"}, NamesVersion: true, HeartbeatInterval: 1200 * time.Millisecond,
			})
			if err != nil {
				return verdict{}, err
			}
			s.onClose(server.Close)
		}
	}
	conf := func(version int, service string) map[string]any {
		return config(version, []any{route("/chat/", "streaming", service, map[string]any{"resumable": true, "timeout_ms": 15000})},
			[]any{serviceOf("chat-a"), serviceOf("chat-b")}, []any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}}})
	}
	if err := s.replaceConfig(conf(1, "chat-a"), 15*time.Second); err != nil {
		return verdict{}, err
	}
	if err := s.awaitEntries(entries, 15*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // all servers are known

	all, wait := s.startStreams(streams, events, "/chat/stream/", "key-1", 15*time.Second)
	time.Sleep(time.Second)
	if s.trouble {
		if err := s.replaceConfig(conf(2, "chat-b"), 4*time.Second); err != nil {
			return verdict{}, err
		}
		time.Sleep(2200 * time.Millisecond) // config_apply_ms has passed
		running[0].kill()
	}
	wait()
	n, whole := joined(all)
	ended := 0
	for _, t := range all {
		if t.whole {
			ended++
		}
	}
	text := fmt.Sprintf("ORDER: %d of %d streams hold events of two services, %d of them end as whole; %d streams are whole", n, streams, whole, ended)
	if ended < streams/2 {
		return verdict{}, fmt.Errorf("too few streams ended: %s", text)
	}
	return verdict{broken: n > allowed, text: text}, nil
}
