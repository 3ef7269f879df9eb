package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"savoryreel.example/savoryreel/event"
)

// filePollInterval is the interval at which WatchFile reads the file. The file may change
// without a signal, and a change has to be in force within seconds.
const filePollInterval = time.Second

// WatchFile calls onChange with the content of the file at path when the content changes,
// and at each SIGHUP even if it has not changed, until ctx ends. current is the content that
// the process has already applied; WatchFile compares with it so that it also detects a
// change before its own first read. A file that it cannot read is logged and read again
// later.
func WatchFile(ctx context.Context, log *slog.Logger, path string, current []byte, onChange func(content []byte)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err != nil {
			event.Log(ctx, log, slog.LevelWarn, event.SettingsRefused, slog.String("file", path), slog.String("error", err.Error()))
			continue
		}
		changed := !bytes.Equal(content, current)
		if !changed && !signalled {
			continue
		}
		current = content
		event.Log(ctx, log, slog.LevelInfo, event.SettingsRead, slog.String("file", path),
			slog.Bool("signal", signalled), slog.Bool("changed", changed))
		onChange(content)
	}
}
