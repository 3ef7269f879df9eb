package daemon

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"
)

func nextContent(t *testing.T, contents <-chan string) string {
	t.Helper()
	select {
	case c := <-contents:
		return c
	case <-time.After(10 * time.Second):
		t.Fatal("the file was not read again")
		return ""
	}
}

// Guards against a missed reload: of a change before WatchFile's first read, of a later
// change, and of SIGHUP without a change. The process would go on with old settings.
func TestWatchFileReportsChangesAndSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte("2"), 0o600)) // the process has applied "1"
	ctx, cancel := context.WithCancel(t.Context())
	contents, done := make(chan string, 4), make(chan error, 1)
	go func() {
		done <- WatchFile(ctx, slog.New(slog.DiscardHandler), path, []byte("1"), func(c []byte) { contents <- string(c) })
	}()
	require.Equal(t, "2", nextContent(t, contents))
	require.NoError(t, os.WriteFile(path, []byte("3"), 0o600))
	require.Equal(t, "3", nextContent(t, contents))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "3", nextContent(t, contents))
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}

// Guards against SIGHUP ending a daemon that watches no file, and with it the requests that
// the daemon serves. Without the Notify of SIGHUP in Signals the test's process ends.
func TestHangupDoesNotEndDaemon(t *testing.T) {
	var g run.Group
	Signals(&g, func(context.Context) {}, slog.New(slog.DiscardHandler))
	stop := make(chan struct{})
	g.Add(func() error { <-stop; return nil }, func(error) {})
	ended := make(chan error, 1)
	go func() { ended <- g.Run() }()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-ended:
		t.Fatal("the daemon ended")
	case <-time.After(200 * time.Millisecond):
	}
	close(stop)
	require.NoError(t, <-ended)
}
