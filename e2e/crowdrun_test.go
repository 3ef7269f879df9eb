//go:build crowd

package e2e

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// measured is what a process has taken at most.
type measured struct {
	bytes       int64 // resident memory, and what has arrived for it and is not read
	descriptors int
}

// usage measures a process that listens at addr.
type usage struct {
	t    *testing.T
	pid  int
	addr netip.AddrPort
	peak measured
}

func newUsage(t *testing.T, p *process, addr string) *usage {
	return &usage{t: t, pid: p.cmd.Process.Pid, addr: netip.MustParseAddrPort(addr)}
}

// sample takes one measurement. One that fails because the process has ended takes nothing.
func (u *usage) sample() {
	resident, err := u.status("VmRSS:")
	if err != nil {
		return
	}
	u.peak.bytes = max(u.peak.bytes, resident+u.unread())
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid))
	if err != nil {
		return
	}
	u.peak.descriptors = max(u.peak.descriptors, len(fds))
}

// result returns the peaks, with the peak of the resident memory that the kernel has noted.
func (u *usage) result() measured {
	u.sample()
	peak, err := u.status("VmHWM:")
	require.NoError(u.t, err, "the process has ended")
	u.peak.bytes = max(u.peak.bytes, peak)
	return u.peak
}

// status returns a size of /proc/PID/status in bytes.
func (u *usage) status(field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, field); found {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("no %s", field)
}

// unread returns the bytes that have arrived at the listener's connections and are not read.
func (u *usage) unread() (sum int64) {
	f, err := os.Open("/proc/net/tcp")
	require.NoError(u.t, err)
	defer f.Close()
	ip := u.addr.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), u.addr.Port())
	const established = "01"
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] != established {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, err := hex.DecodeString(rx)
		require.NoError(u.t, err)
		sum += int64(binary.BigEndian.Uint32(n))
	}
	return sum
}

// usersBinary returns the binary as users build it: the race detector's memory is not the product's.
func usersBinary(t *testing.T) string {
	path := filepath.Join(filepath.Dir(binaryPath), "savoryreel-users")
	if _, err := os.Stat(path); err == nil {
		return path
	}
	build := exec.Command("go", "build", "-o", path, "../cmd/savoryreel")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	return path
}

// checkCrowd lets a crowd come to a listener and checks that the process stays within its machine, and that an
// ordinary request is served there while the crowd stays.
func checkCrowd(t *testing.T, prepare func(*testing.T) *crowdSite, kind crowdKind) {
	s := prepare(t)
	u := newUsage(t, s.process, s.addr)
	u.sample()
	before := u.peak
	c := startCrowd(t, s.addr, s.request, kind)
	c.awaitStill(u.sample)
	awaitServed(t, u, s.ordinary, "an ordinary request is served while the crowd stays")
	if s.further != nil {
		awaitServed(t, u, s.further, "a further request is served while the crowd stays")
	}
	select {
	case <-s.process.done:
		t.Fatalf("the process has ended: %v", s.process.exitErr)
	default:
	}
	peak := u.result()
	t.Logf("%d clients sent %d MB, %d stopped; at most %d MB (before %d) and %d descriptors (before %d)", c.size, c.sent.Load()>>20,
		c.ended.Load(), peak.bytes>>20, before.bytes>>20, peak.descriptors, before.descriptors)
	require.LessOrEqual(t, peak.bytes, int64(crowdMemoryMB<<20), "memory, unread bytes included")
	require.LessOrEqual(t, peak.descriptors, crowdDescriptors, "descriptors")
}

// awaitServed repeats a request until it is served.
func awaitServed(t *testing.T, u *usage, request func() error, condition string) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		u.sample()
		if err = request(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(t, err, condition)
}

// slowBodyPause is the time between two pieces of a slow body.
const slowBodyPause = 300 * time.Millisecond

// checkSlowBody checks that a single request inside the limits is served in calm, however slowly its body comes.
func checkSlowBody(t *testing.T, prepare func(*testing.T) *crowdSite, pieces int) {
	s := prepare(t)
	nc, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	defer nc.Close()
	_, err = nc.Write([]byte(s.request + announcedBody + "\r\n\r\n"))
	require.NoError(t, err)
	for range pieces {
		time.Sleep(slowBodyPause)
		_, err = nc.Write(bytes.Repeat([]byte{'x'}, crowdBodyBytes/pieces))
		require.NoError(t, err)
	}
	require.NoError(t, nc.SetReadDeadline(time.Now().Add(waitTimeout)))
	line, err := bufio.NewReader(nc).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK\r\n", line)
}
