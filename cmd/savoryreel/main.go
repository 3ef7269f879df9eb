// Command savoryreel is the single binary of the system. Each subcommand runs a daemon or a
// client tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/daemon"
	"savoryreel.example/savoryreel/event"
	"savoryreel.example/savoryreel/settings"
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the command with these arguments and returns the process's exit code. It
// prints errors to standard error.
func execute(args []string) int {
	defer logWriter.Close()
	root := newRoot()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return daemon.ExitOK
	}
	fmt.Fprintln(os.Stderr, "savoryreel:", err)
	var invalid *settings.InvalidError
	var usage *usageError
	if errors.As(err, &invalid) || errors.As(err, &usage) {
		return daemon.ExitUsage
	}
	return daemon.ExitFailed
}

// usageError is an error in the command line; the process exits with daemon.ExitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "savoryreel",
		Short:         "Serve model answers and web calls from reclaimable instances",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.AddCommand(newEntry(), newControl(), newStandIn(), newCatalogue(), newStop(), newStatus(), newReplica(), newKey(), newDev(), newLoad(), newPlatform(), newRollout(), newTrace(), newExplain())
	return root
}

// daemonCommand returns a command that loads the settings declared by declare and then calls
// start with a logger of level *level. Its flag --print-settings prints the settings instead.
func daemonCommand(use, short string, declare func(*settings.Set), level *string, start func(ctx context.Context, log *slog.Logger) error) *cobra.Command {
	var printOnly bool
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	set := settings.New(cmd.Flags())
	declare(set)
	cmd.Flags().BoolVar(&printOnly, "print-settings", false, "print the settings in force and exit")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Load(); err != nil {
			event.Log(context.Background(), newLogger(""), slog.LevelError, event.SettingsRefused, slog.String("error", err.Error()))
			return err
		}
		if printOnly {
			set.Print(cmd.OutOrStdout())
			return nil
		}
		return start(cmd.Context(), newLogger(*level))
	}
	return cmd
}

// logWriter writes the log lines of this process to standard output. execute closes it, so
// that queued lines are written before the process ends.
var logWriter = event.NewWriter(os.Stdout)

// newLogger returns a logger in JSON with this minimum level.
func newLogger(level string) *slog.Logger {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) != nil {
		l = slog.LevelInfo // the level is empty if the settings could not be loaded
	}
	return slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: l}))
}

// clientContext returns a context for a client command, cancelled at SIGINT or SIGTERM.
func clientContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}
