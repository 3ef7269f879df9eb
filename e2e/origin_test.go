package e2e

import (
	"fmt"
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
	s, err := standin.StartServer(standin.ServerConfig{
		ID: id, Service: "web", Zone: "z1", ControlAddrs: p.controlAddrs(), Version: standin.Version{Name: version}, Slots: 64,
		HeartbeatInterval: leaveHeartbeat, OnPanic: p.failOnPanic,
	})
	require.NoError(p.t, err)
	p.t.Cleanup(s.Close)
	p.servers = append(p.servers, s)
	p.eventually(s.Announced, "the server is announced")
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
	for _, e := range p.entries {
		e.kill(t)
	}
	for i := range p.entries {
		p.entries[i] = p.startPlatformEntry(i)
	}
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
