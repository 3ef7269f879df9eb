package e2e

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// The site of the tests of streams that go on: two software versions serve side by side.
const (
	originEntries  = 3
	originServers  = 3 // of each version
	originStreams  = 60
	originPath     = "/chat/stream/200" // a second
	originKillWait = 400 * time.Millisecond
	// minTakenUp is the number of streams taken up from which the platform's rule LOST counts.
	minTakenUp = 12
)

// newOriginSite returns a site whose servers, of two versions, write their version into each event.
func newOriginSite(t *testing.T) *platformSite {
	p := startPlatformSite(t, 3, originEntries, func(p *platformSite) { p.heartbeatInterval = leaveHeartbeat })
	for _, version := range []string{"v1", "v2"} {
		for i := range originServers {
			p.startVersion(fmt.Sprintf("%s-%d", version, i), version)
		}
	}
	p.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	for i := range p.entries {
		p.awaitServing(i, "/get/x")
	}
	return p
}

// startVersion starts a server of a software version.
func (p *platformSite) startVersion(id, version string) *standin.Server {
	p.t.Helper()
	s := p.startVersionAt(id, version, "")
	p.eventually(s.Announced, "the server is announced")
	return s
}

// startVersionAt starts a server of a software version at an address, or at any if that is empty or another
// process has taken it.
func (p *platformSite) startVersionAt(id, version, address string) *standin.Server {
	p.t.Helper()
	cfg := standin.ServerConfig{
		Address: address, ID: id, Service: "web", Zone: "z1", ControlAddrs: p.controlAddrs(), Version: standin.Version{Name: version}, Slots: 64, NamesVersion: true,
		HeartbeatInterval: leaveHeartbeat, OnPanic: p.failOnPanic,
	}
	s, err := standin.StartServer(cfg)
	if address != "" && errors.Is(err, syscall.EADDRINUSE) {
		cfg.Address = ""
		s, err = standin.StartServer(cfg)
	}
	require.NoError(p.t, err)
	p.t.Cleanup(s.Close)
	p.servers = append(p.servers, s)
	return s
}

// requireOneVersion checks the platform's rules on streams that go on: none holds events of two versions
// (ORDER), and at least half of those that were taken up go on (LOST: all new streams begin here).
func requireOneVersion(t *testing.T, calls []*streamCall) streamTally {
	t.Helper()
	tally := tallyStreams(calls)
	t.Logf("%+v", tally)
	require.Zero(t, tally.joined, "streams with events of two versions")
	require.GreaterOrEqual(t, tally.takenUp, minTakenUp)
	require.GreaterOrEqual(t, 2*tally.wentOn, tally.takenUp)
	return tally
}

// Guards against streams that go on at another software version, or are all refused, when all entries are
// killed at once and their callers take them up.
func TestPlatformStreamsKeepTheirVersionWhenAllEntriesDie(t *testing.T) {
	p := newOriginSite(t)
	calls, wait := p.startStreams(originStreams, originPath)
	time.Sleep(originKillWait)
	p.killEntries()
	wait()
	requireOneVersion(t, calls)
}

// Guards against an answer that is joined from two software versions when servers crash under it.
func TestPlatformStreamsKeepTheirVersionWhenServersCrash(t *testing.T) {
	p := newOriginSite(t)
	calls, wait := p.startStreams(originStreams, originPath)
	time.Sleep(originKillWait)
	p.servers[0].Close()
	p.servers[originServers].Close()
	wait()
	tally := tallyStreams(calls)
	t.Logf("%+v", tally)
	require.Zero(t, tally.joined, "streams with events of two versions")
	require.GreaterOrEqual(t, 2*tally.whole, len(calls), "they go on at the servers that are left")
}

// killEntries kills all entries at once and starts them again.
func (p *platformSite) killEntries() {
	for _, e := range p.entries {
		e.kill(p.t)
	}
	for i := range p.entries {
		p.entries[i] = p.startPlatformEntry(i)
	}
}

// killControls kills all control replicas at once and starts them again with their disks.
func (p *platformSite) killControls() {
	for _, c := range p.controls {
		c.kill(p.t)
	}
	for i := range p.controls {
		p.controls[i] = p.startPlatformControl(i, false)
	}
}

// Guards against streams that are joined from two versions, or all refused, when the processes that know
// what began them are lost in other ways.
func TestPlatformStreamsKeepTheirVersionWhenOthersAreLostToo(t *testing.T) {
	for name, lose := range map[string]func(p *platformSite){
		"all processes at once": func(p *platformSite) {
			for _, c := range p.controls {
				c.signal(p.t, syscall.SIGKILL)
			}
			p.killEntries()
			p.killControls()
		},
		"a replica and its disk": func(p *platformSite) {
			p.controls[0].kill(p.t)
			require.NoError(p.t, os.RemoveAll(filepath.Join(p.dir, p.host(controlOctet(0)))))
			p.killEntries()
			p.controls[0] = p.startPlatformControl(0, false)
		},
		"a replica is frozen": func(p *platformSite) {
			p.controls[1].signal(p.t, syscall.SIGSTOP)
			p.killEntries()
			p.t.Cleanup(func() { p.controls[1].signal(p.t, syscall.SIGCONT) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newOriginSite(t)
			calls, wait := p.startStreams(originStreams, originPath)
			time.Sleep(originKillWait)
			lose(p)
			wait()
			requireOneVersion(t, calls)
		})
	}
}

// Guards against streams that go on at another version when no server of their own is left: their callers
// are to get a clear refusal.
func TestPlatformStreamsOfAVersionThatHasLeftAreRefused(t *testing.T) {
	p := newOriginSite(t)
	calls, wait := p.startStreams(originStreams, originPath)
	time.Sleep(originKillWait)
	for _, s := range p.servers[:originServers] {
		s.Close()
	}
	p.killEntries()
	wait()
	tally := tallyStreams(calls)
	t.Logf("%+v", tally)
	require.Zero(t, tally.joined)
	require.GreaterOrEqual(t, tally.whole, originStreams/4, "streams of the other version go on")
	require.Positive(t, tally.refusals["503 version_not_served"], "%v", tally.refusals)
}

// Guards against streams that are joined from two versions when servers start again under their ids with
// the other version, while the entries that began streams there are killed.
func TestPlatformStreamsKeepTheirVersionWhenServersComeBackWithAnother(t *testing.T) {
	p := newOriginSite(t)
	calls, wait := p.startStreams(originStreams, originPath)
	time.Sleep(originKillWait)
	for i, version := range []string{"v2", "v1"} {
		s := p.servers[i*originServers]
		s.Close()
		p.startVersionAt(s.ID, version, s.ListenAddress())
	}
	p.killEntries()
	more, waitMore := p.startStreams(originStreams, originPath)
	wait()
	waitMore()
	requireOneVersion(t, calls)
	require.Zero(t, tallyStreams(more).joined)
}
