package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	controls = 8
	// frozenFor is how long two control processes stand still.
	frozenFor = 36 * time.Second
	// configApply is the bound of configuration in the settings.
	configApply = 2500 * time.Millisecond
)

// playFounders freezes two of the control processes that the first settings named, for as long as it takes
// until others have taken their places, and then changes and reads the configuration at all nodes.
func playFounders(b *bed, trouble bool) error {
	b.seeds = []int{1, 2, 3}
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	var all []*process
	for host := 1; host <= controls; host++ {
		p, err := b.add(fmt.Sprintf("core-%d", host), "control", zones[(host-1)%len(zones)], host, true)
		if err != nil {
			return err
		}
		all = append(all, p)
	}
	if _, err := b.order(all[3:], 1, configuration(1, nil)); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // until all control processes are members
	// The system has started: the platform writes that into the settings.
	for _, p := range all {
		if err := b.writeSettings(p, false); err != nil {
			return err
		}
	}
	if _, err := b.order(all, 3, configuration(3, nil)); err != nil {
		return err
	}
	frozen, others := all[:2], all[2:]
	if trouble {
		for _, p := range frozen {
			if err := b.signal(p, syscall.SIGSTOP); err != nil {
				return err
			}
		}
	}
	time.Sleep(2 * time.Second)
	if _, err := b.order(others, 6, configuration(6, nil)); err != nil {
		return err
	}
	time.Sleep(frozenFor - 2*time.Second)
	if trouble {
		for _, p := range frozen {
			if err := b.signal(p, syscall.SIGCONT); err != nil {
				return err
			}
		}
	}
	time.Sleep(10 * time.Second) // more than the bounds within which calm machines are in touch again
	return b.changeAndRead(all)
}

// changeAndRead sends versions, each to another node first, and reads at all nodes later than the bound
// after the acknowledgement. A node that answers with an older version breaks the rule.
func (b *bed) changeAndRead(all []*process) error {
	newest, broken := 6, 0
	for round := range 6 {
		first := (round * 3) % len(all)
		version := newest + 5
		acked, err := b.order(append(append([]*process(nil), all[first:]...), all[:first]...), version, configuration(version, nil))
		if err != nil {
			return err
		}
		newest = version
		b.note("operator: version %d was acknowledged by %s", version, acked.name)
		time.Sleep(configApply + 200*time.Millisecond)
		for _, p := range all {
			status, held := b.read(p)
			b.note("operator: read at %s, answered %d, version %d", p.name, status, held)
			if status == http.StatusOK && held < newest {
				broken++
				b.note("BROKEN: CONFIG: %s answers with version %d, %d was acknowledged by %s more than %v before the read was sent", p.name, held, newest, acked.name, configApply)
			}
		}
	}
	for _, p := range all {
		for _, text := range []string{`"replica started"`, `"leader changed"`} {
			for _, line := range b.logged(p, text) {
				b.note("log of %s: %s", p.name, line)
			}
		}
	}
	if v := b.cloud.violations(); broken > 0 || len(v) > 0 {
		return fmt.Errorf("%w: %d reads of an older configuration, %d violations of ONE", errBroken, broken, len(v))
	}
	return nil
}
