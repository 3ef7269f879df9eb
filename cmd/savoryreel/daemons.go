package main

import (
	"context"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/control"
	"savoryreel.example/savoryreel/entry"
)

func newEntry() *cobra.Command {
	var cfg entry.Config
	return daemonCommand("entry", "Run an entry: take callers' requests and route them to backend servers", cfg.Declare, &cfg.LogLevel,
		func(ctx context.Context, log *slog.Logger) error {
			e, err := entry.New(cfg, entry.Deps{Log: log, Now: time.Now})
			if err != nil {
				return err
			}
			return e.Run(ctx)
		})
}

func newControl() *cobra.Command {
	var cfg control.Config
	return daemonCommand("control", "Run a control replica: store the catalogue, the planned stops and the ledger", cfg.Declare, &cfg.LogLevel,
		func(ctx context.Context, log *slog.Logger) error {
			c, err := control.New(cfg, control.Deps{Log: log, Now: time.Now})
			if err != nil {
				return err
			}
			return c.Run(ctx)
		})
}
