//go:build linux

package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/platform/standin"
)

// partitionMode is how the connections of processes that are cut off from backend servers fail.
type partitionMode string

const (
	partitionNone   partitionMode = ""
	partitionHang   partitionMode = "hang"         // open connections and new ones
	partitionReset  partitionMode = "reset"        // open connections and new ones
	partitionNoDial partitionMode = "refuse dials" // open connections live on, new ones are reset
)

// partition cuts some processes off from backend servers that accept their connections through it.
// A process is told apart by the socket that it holds at the other end.
type partition struct {
	mu      sync.Mutex
	mode    partitionMode
	watched []int         // processes that may be cut off
	cutOff  []int         // those that are, unless mode is partitionNone
	healed  chan struct{} // closed when no process is cut off
	conns   map[*partitionConn]struct{}
}

func newPartition() *partition {
	healed := make(chan struct{})
	close(healed)
	return &partition{healed: healed, conns: make(map[*partitionConn]struct{})}
}

// cut cuts processes off until heal.
func (p *partition) cut(mode partitionMode, cutOff ...*process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.cutOff, p.healed = mode, pidsOf(cutOff), make(chan struct{})
	for c := range p.conns {
		if mode == partitionReset && slices.Contains(p.cutOff, c.pid) {
			c.reset()
		}
	}
}

// heal ends the cut. Bytes that were held up arrive.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != partitionNone {
		p.mode = partitionNone
		close(p.healed)
	}
}

// listen returns a listener whose connections the partition affects.
func (p *partition) listen(l net.Listener) net.Listener {
	return &partitionListener{Listener: newTimedListener(l), partition: p}
}

// hanging returns a channel that is closed once the bytes of a process's connection pass.
func (p *partition) hanging(pid int) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == partitionHang && slices.Contains(p.cutOff, pid) {
		return p.healed
	}
	return closedChannel
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

type partitionListener struct {
	net.Listener
	partition *partition
}

func (l *partitionListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &partitionConn{timedConn: c.(*timedConn), partition: l.partition, closed: make(chan struct{})}
		if l.partition.admit(conn) {
			return conn, nil
		}
	}
}

// admit adds a new connection, or resets it.
func (p *partition) admit(c *partitionConn) bool {
	p.mu.Lock()
	watched := p.watched
	p.mu.Unlock()
	c.pid = ownerOf(c.RemoteAddr(), c.LocalAddr(), watched)
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.mode == partitionReset || p.mode == partitionNoDial) && slices.Contains(p.cutOff, c.pid) {
		c.reset()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// watch makes the partition know processes that may be cut off, before they connect.
func (p *partition) watch(processes ...*process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watched = append(slices.Clip(p.watched), pidsOf(processes)...)
}

func pidsOf(processes []*process) (pids []int) {
	for _, p := range processes {
		pids = append(pids, p.cmd.Process.Pid)
	}
	return pids
}

// partitionConn is a connection of a backend server.
type partitionConn struct {
	*timedConn
	partition *partition
	pid       int // of the process at the other end; 0: unknown
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *partitionConn) Read(b []byte) (int, error) {
	n, err := c.timedConn.Read(b)
	select {
	case <-c.partition.hanging(c.pid):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *partitionConn) Write(b []byte) (int, error) {
	select {
	case <-c.partition.hanging(c.pid):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	return c.timedConn.Write(b)
}

func (c *partitionConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.partition.mu.Lock()
		defer c.partition.mu.Unlock()
		delete(c.partition.conns, c)
	})
	return c.timedConn.Close()
}

func (c *partitionConn) reset() {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.timedConn.Close()
}

// ownerLookups is how often a socket is looked for: the kernel's list may miss one while it changes.
const ownerLookups = 20

// ownerOf returns which of the processes holds the socket between two addresses; 0 if none does.
func ownerOf(local, remote net.Addr, pids []int) int {
	var inode string
	for i := 0; i < ownerLookups && inode == ""; i++ {
		inode = socketInode(local, remote)
	}
	if inode == "" {
		return 0
	}
	want := "socket:[" + inode + "]"
	for _, pid := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		fds, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			if target, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && target == want {
				return pid
			}
		}
	}
	return 0
}

// socketInode returns the inode of the IPv4 socket between two addresses; empty if there is none.
func socketInode(local, remote net.Addr) string {
	const localField, remoteField, inodeField = 1, 2, 9
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == kernelAddress(local) && fields[remoteField] == kernelAddress(remote) {
			return fields[inodeField]
		}
	}
	return ""
}

// kernelAddress returns an IPv4 address as /proc/net/tcp lists it.
func kernelAddress(addr net.Addr) string {
	tcp := addr.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// Guards against a partition that cuts off no process, or another one, so that the tests of entries
// without a path to servers pass for nothing.
func TestPartitionTellsProcessesApart(t *testing.T) {
	p := newPartition()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := p.listen(raw)
	defer l.Close()
	self := os.Getpid()
	p.watched, p.cutOff = []int{self}, []int{self}
	client, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := l.Accept()
	require.NoError(t, err)
	defer server.Close()
	require.Equal(t, self, server.(*partitionConn).pid)
	p.mu.Lock()
	p.mode = partitionNoDial
	p.mu.Unlock()
	go func() { _, _ = l.Accept() }() // ends with the listener
	refused, err := net.Dial("tcp", raw.Addr().String())
	require.NoError(t, err)
	defer refused.Close()
	_, err = refused.Read(make([]byte, 1))
	require.NotErrorIs(t, err, io.EOF)
	require.Error(t, err)
	_, err = server.Write([]byte("lives on"))
	require.NoError(t, err)
}

// startPartitionedServers starts n backend servers of the service web, half of them in each of two
// zones, behind a partition that knows the site's entries.
func (p *platformSite) startPartitionedServers(n int) *partition {
	p.t.Helper()
	cut := newPartition()
	cut.watch(p.entries...)
	for i := range n {
		s, err := standin.StartServer(standin.ServerConfig{
			ID: fmt.Sprintf("s%d", i), Service: "web", Zone: fmt.Sprintf("z%d", 1+i%2), ControlAddrs: p.controlAddrs(),
			Listener: cut.listen, OnPanic: p.failOnPanic,
		})
		require.NoError(p.t, err)
		p.t.Cleanup(s.Close)
		p.t.Cleanup(cut.heal)
		p.servers = append(p.servers, s)
	}
	return cut
}
