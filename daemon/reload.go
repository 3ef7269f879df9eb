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

// fileEvery is how often a settings file is looked at: it may change without a
// signal, and what changes has seconds to take hold.
const filePollInterval = time.Second

// WatchFile calls onChange with a file's content at SIGHUP and whenever the
// content is another than before, until ctx ends. have is the content that the
// process has in force: a change between its start and the first look would
// otherwise be taken for what it started with. Without WatchFile SIGHUP would end
// the process.
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
