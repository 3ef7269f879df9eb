//go:build crowd

package e2e

import (
	"fmt"
	"testing"

	"savoryreel.example/savoryreel/platform/standin"
)

func newCrowdPlatform(t *testing.T) *platformSite {
	p := startPlatformSite(t, 3, 1, func(p *platformSite) {
		p.binary = usersBinary(t)
		p.memoryMB, p.descriptors = crowdMemoryMB, crowdDescriptors
	})
	p.startServers(1)
	p.replaceCatalogue(0, standin.Catalogue{Revision: 1, Service: "web", Keys: []string{platformKey}})
	p.awaitServing(0, "/get/x")
	return p
}

func newCrowdNative(t *testing.T) *site {
	s := newSite(t)
	s.binary = usersBinary(t)
	s.extraEnv = []string{
		fmt.Sprintf("SAVORYREEL_MEMORY_MB=%d", crowdMemoryMB), fmt.Sprintf("SAVORYREEL_MAX_DESCRIPTORS=%d", crowdDescriptors),
	}
	s.startControl(1)
	s.startEntry(1, "z1")
	s.startPlain(1, "z1")
	s.apply(newTestCatalogue())
	s.waitUntilServing(1, "/svc/echo/ready", "x")
	return s
}

// platformCallers is an entry's listener for callers. The crowd has a valid key.
func platformCallers(t *testing.T) *crowdSite {
	p := newCrowdPlatform(t)
	fields := func(id string) string {
		return standin.RawCall + standin.RawCaller(id, platformKey)
	}
	return &crowdSite{process: p.entries[0], addr: p.entryAddr(0), request: fields("crowd"), ordinary: func() error {
		return served(p.entryAddr(0), fields("ordinary")+"Content-Length: 2\r\n\r\nhi")
	}, further: func() error { return served(p.entryAddr(0), largeBody(fields("large"))) }}
}

// platformReadiness is an entry's listener for probes.
func platformReadiness(t *testing.T) *crowdSite {
	p := newCrowdPlatform(t)
	addr := p.addrOf(entryOctet(0), standin.ReadinessPort)
	return &crowdSite{
		process: p.entries[0], addr: addr, request: standin.RawReady,
		ordinary: func() error { return served(addr, standin.RawReady+"\r\n") },
	}
}

// platformOperators is a control replica's listener for operators and heartbeats.
func platformOperators(t *testing.T) *crowdSite {
	p := newCrowdPlatform(t)
	addr := p.controlAddrs()[1]
	return &crowdSite{
		process: p.controls[1], addr: addr, request: standin.RawReplace,
		ordinary: func() error { return served(addr, standin.RawRead+"\r\n") },
		further: func() error {
			return standin.ReplaceCatalogue(p.ctx(), addr, standin.Catalogue{Revision: 2, Service: "web", Keys: []string{platformKey}})
		},
	}
}

// platformHeartbeats is the same listener; the crowd calls it like backend servers.
func platformHeartbeats(t *testing.T) *crowdSite {
	s := platformOperators(t)
	s.request = standin.RawHeartbeat
	return s
}

// platformDirectory is a control replica's listener for callers that look entries up.
func platformDirectory(t *testing.T) *crowdSite {
	p := newCrowdPlatform(t)
	addr := p.addrOf(controlOctet(1), standin.DirectoryPort)
	return &crowdSite{
		process: p.controls[1], addr: addr, request: standin.RawResolve,
		ordinary: func() error { return served(addr, standin.RawResolve+"\r\n") },
	}
}

// nativeCallers is an entry's listener for callers and announcements. The crowd has a valid key.
func nativeCallers(t *testing.T) *crowdSite {
	s := newCrowdNative(t)
	put := header("PUT /svc/echo/x HTTP/1.1", "Host: x", "Authorization: Bearer "+workspaceKey)
	return &crowdSite{process: s.processes[1], addr: s.addr(entryPort(1)), request: put, ordinary: func() error {
		return served(s.addr(entryPort(1)), put+"Content-Length: 2\r\n\r\nhi")
	}, further: func() error { return served(s.addr(entryPort(1)), largeBody(put)) }}
}

// nativeChats is the same listener; the crowd sends chats.
func nativeChats(t *testing.T) *crowdSite {
	s := nativeCallers(t)
	s.request = header("POST /v1/chat/completions HTTP/1.1", "Host: x", "Authorization: Bearer "+workspaceKey)
	return s
}

// nativeOperators is a control replica's listener for operators. The crowd has the key.
func nativeOperators(t *testing.T) *crowdSite {
	s := newCrowdNative(t)
	addr, auth := s.operatorAddrs[0], "Authorization: Bearer "+operatorKey
	return &crowdSite{
		process: s.processes[0], addr: addr, request: header("PUT /v1/catalogue HTTP/1.1", "Host: x", auth),
		ordinary: func() error { return served(addr, header("GET /v1/catalogue HTTP/1.1", "Host: x", auth)+"\r\n") },
	}
}
