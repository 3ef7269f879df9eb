package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/platform"
	"savoryreel.example/savoryreel/settings"
)

func newRollout() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Move a service to a new version of its servers, on the users' platform"}
	cmd.AddCommand(newRolloutStart(), newRolloutStatus())
	return cmd
}

func newRolloutStart() *cobra.Command {
	var duration time.Duration
	cmd := rolloutCommand("start SERVICE VERSION", "Order that a service moves to a version", 2,
		func(cmd *cobra.Command, c *platform.OperatorClient, _ bool, args []string) error {
			if err := c.StartRollout(cmd.Context(), args[0], args[1], duration); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted: %s moves to %s within %v\n", args[0], args[1], duration)
			return nil
		})
	cmd.Flags().DurationVar(&duration, "duration", time.Minute, "until the version gets all requests or is rolled back")
	return cmd
}

func newRolloutStatus() *cobra.Command {
	return rolloutCommand("status SERVICE", "Show the last rollout of a service", 1,
		func(cmd *cobra.Command, c *platform.OperatorClient, asJSON bool, args []string) error {
			last, err := c.LastRollout(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(last)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s to %s: %s\n", last.Service, last.To, last.State)
			return nil
		})
}

// rolloutCommand returns a command with a number of arguments that calls run with a client of the control
// replicas on the platform.
func rolloutCommand(use, short string, args int, run func(cmd *cobra.Command, c *platform.OperatorClient, asJSON bool, args []string) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: func(cmd *cobra.Command, a []string) error {
		if err := cobra.ExactArgs(args)(cmd, a); err != nil {
			return &usageError{err}
		}
		return nil
	}}
	var client platform.OperatorClient
	var output string
	set := settings.New(cmd.Flags())
	set.Strings(&client.Control, "control-operators", []string{"127.0.0.1:7102"}, "operator addresses of the control replicas", settings.HostPorts)
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := set.Load(); err != nil {
			return err
		}
		if output != "table" && output != "json" {
			return &usageError{fmt.Errorf("--output %q is not table or json", output)}
		}
		ctx, cancel := clientContext(cmd)
		defer cancel()
		cmd.SetContext(ctx)
		return run(cmd, &client, output == "json", args)
	}
	return cmd
}
