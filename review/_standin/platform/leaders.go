package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// leadersRemoved removes the leader of the core for good, three times, each time once the machine that took
// the place of the one before has had catch_up_s. Then no configuration is acknowledged or read back any more.
func leadersRemoved(s *site) (verdict, error) {
	const (
		controls = 5
		founders = 3
		removals = 3
		catchUp  = 4200 * time.Millisecond // catch_up_s and a little more
		reads    = 45 * time.Second
	)
	core, _, err := s.startSystem(controls, 2, "")
	if err != nil {
		return verdict{}, err
	}
	conf := config(1, []any{route("/get/", "idempotent", "web", nil)}, []any{serviceOf("web")},
		[]any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}}})
	if err := s.replaceConfig(conf, 15*time.Second); err != nil {
		return verdict{}, err
	}
	live := make(map[int]*process)
	for _, p := range core {
		live[p.m.n] = p
	}
	for end := time.Now().Add(20 * time.Second); s.promotions(live) < controls-founders; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			return verdict{}, fmt.Errorf("the core has not become a group of %d voters", controls)
		}
	}
	time.Sleep(5 * time.Second)
	removed := 0
	for i := range removals {
		if !s.trouble {
			time.Sleep(catchUp + time.Second)
			continue
		}
		leader := s.leader(live)
		if leader == 0 {
			return verdict{}, fmt.Errorf("no leader is known")
		}
		s.log("machine %d leads and is removed for good", leader)
		live[leader].kill()
		removed++
		zone := live[leader].m.zone
		delete(live, leader)
		time.Sleep(time.Second)
		n := 11 + i
		var seeds []int
		for other := range live {
			if len(seeds) < 3 {
				seeds = append(seeds, other)
			}
		}
		p, err := s.start(machine{role: "control", n: n, zone: zone, seeds: seeds})
		if err != nil {
			return verdict{}, err
		}
		live[n] = p
		var ns []int
		for other := range live {
			ns = append(ns, other)
		}
		s.setControls(ns...)
		time.Sleep(catchUp)
		conf["version"] = 2 + i
		if err := s.replaceConfig(conf, 4*time.Second); err != nil {
			s.log("configuration %d: %v", 2+i, err)
		}
	}
	read, err := s.readBack(reads)
	text := fmt.Sprintf("CONFIG: after %d removals, one at a time, the configuration is read back: %t (%v)", removed, read, err)
	return verdict{broken: !read, text: text}, nil
}

// readBack asks all machines that serve control for the configuration, again and again, until one returns it.
func (s *site) readBack(patience time.Duration) (bool, error) {
	var last error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, ip := range s.controlIPs() {
			text, err := get(fmt.Sprintf("http://%s:%d/savoryreel/Config.Read", ip, operatorPort), time.Second)
			if err == nil {
				var out struct {
					Version int `json:"version"`
				}
				err = json.Unmarshal(text, &out)
				s.log("configuration %d read back from %s", out.Version, ip)
				return err == nil, err
			}
			s.log("configuration not read back from %s: %v", ip, err)
			last = err
		}
	}
	return false, last
}

// roleLine is a line of a machine's log on the group of the core.
type roleLine struct {
	Time time.Time `json:"time"`
	Msg  string    `json:"msg"`
	Role string    `json:"role"`
	Term uint64    `json:"term"`
}

// lastRole returns the last line of a machine's log that names its role in the group.
func (s *site) lastRole(n int) (last roleLine) {
	content, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("log-%d", n)))
	if err != nil {
		return last
	}
	for line := range bytes.Lines(content) {
		var l roleLine
		if json.Unmarshal(line, &l) == nil && l.Role != "" && l.Term > 0 {
			last = l
		}
	}
	return last
}

// leader returns the machine that leads in the highest term, 0 if none is known.
func (s *site) leader(live map[int]*process) (leader int) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		highest := uint64(0)
		for n := range live {
			if l := s.lastRole(n); l.Role == "leader" && l.Term > highest {
				leader, highest = n, l.Term
			}
		}
		if leader != 0 {
			return leader
		}
	}
	return 0
}

// promotions counts the machines that were made voters, by the logs of all.
func (s *site) promotions(live map[int]*process) (n int) {
	for m := range live {
		content, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("log-%d", m)))
		if err == nil {
			n += bytes.Count(content, []byte(`"change":"promote"`))
		}
	}
	return n
}
