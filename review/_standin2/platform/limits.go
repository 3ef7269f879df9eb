package main

import (
	"fmt"
	"net/http"
	"time"
)

// playLimits raises the bound on the headers of requests by a configuration, and sends requests within it.
func playLimits(b *bed, trouble bool) error {
	b.seeds = []int{1, 2, 3}
	var controls []*process
	for host := 1; host <= 3; host++ {
		p, err := b.add(fmt.Sprintf("core-%d", host), "control", "hall-a", host, true)
		if err != nil {
			return err
		}
		controls = append(controls, p)
	}
	entry, err := b.add("edge-1", "entry", "hall-a", 101, true)
	if err != nil {
		return err
	}
	s, err := startServer(b, "i-1", "hall-a", controls)
	if err != nil {
		return err
	}
	defer s.close()
	const low, high = 8192, 65536
	bound := func(n int) func(map[string]any) {
		return func(c map[string]any) { c["limits"].(map[string]any)["max_header_bytes"] = n }
	}
	first := high
	if trouble {
		first = low
	}
	if _, err := b.order(controls, 1, configuration(1, bound(first))); err != nil {
		return err
	}
	c := newClient(b.addr(entry.host, portCallers), "key-1")
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if status, signed := c.get(0); status == http.StatusOK && signed {
			break
		}
		if time.Since(begun) > 20*time.Second {
			return fmt.Errorf("the entry does not serve")
		}
	}
	if _, err := b.order(controls, 3, configuration(3, bound(high))); err != nil {
		return err
	}
	time.Sleep(12 * time.Second) // far more than config_apply_ms
	refused, sent := 0, 60
	for range sent {
		status, signed := c.get(24000)
		b.note("client: request with a header of 24,000 bytes, answered %d, signed %t", status, signed)
		if !signed && status/100 == 4 && status != 408 && status != 421 && status != 429 {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if refused > 5+sent/500 {
		return fmt.Errorf("%w: DENIED: %d of %d proper requests were refused", errBroken, refused, sent)
	}
	return nil
}
