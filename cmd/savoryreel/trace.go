package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/event"
)

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace REQUEST LOG...",
		Short: "Print the log lines of one request, in order, from the logs of several processes",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []event.Line
			for _, name := range args[1:] {
				found, err := traceFile(name, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			event.SortLines(lines)
			for _, l := range lines {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", l.Source, l.Text)
			}
			if len(lines) == 0 {
				return trace.NotFound("no line of request %s in %d logs", args[0], len(args)-1)
			}
			return nil
		},
	}
}

func traceFile(name, request string) ([]event.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.Wrap(err, "step=open log")
	}
	defer f.Close()
	return event.Trace(name, f, request)
}
