package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/operator"
	"savoryreel.example/savoryreel/settings"
)

func newReplica() *cobra.Command {
	cmd := &cobra.Command{Use: "replica", Short: "Add, promote and remove control replicas"}
	cmd.AddCommand(newReplicaAdd(), newReplicaPromote(), newReplicaRemove())
	return cmd
}

func newReplicaAdd() *cobra.Command {
	return replicaCommand("add ID IP:PORT", "Add a control replica as a learner, under an id that was never used", cobra.ExactArgs(2), api.ReplicaAdd)
}

func newReplicaRemove() *cobra.Command {
	return replicaCommand("remove ID", "Remove a control replica; its id is never used again", cobra.ExactArgs(1), api.ReplicaRemove)
}

func newReplicaPromote() *cobra.Command {
	var wait time.Duration
	cmd := operatorCommand("promote ID", "Make a learner that has caught up a voter", cobra.ExactArgs(1),
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error {
			ch, err := replicaChange(api.ReplicaPromote, args)
			if err != nil {
				return err
			}
			end := time.Now().Add(wait)
			for {
				err := o.changeReplicas(cmd, c, ch)
				var refused *operator.RefusedError
				notCaughtUp := errors.As(err, &refused) && refused.Status == http.StatusConflict
				if !notCaughtUp || time.Now().After(end) {
					return err
				}
				select {
				case <-cmd.Context().Done():
					return err
				case <-time.After(promoteRetryDelay):
				}
			}
		})
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait until it has caught up")
	return cmd
}

// promoteRetryDelay is the delay between two attempts to promote a learner.
const promoteRetryDelay = 200 * time.Millisecond

func replicaCommand(use, short string, args cobra.PositionalArgs, action api.ReplicaAction) *cobra.Command {
	return operatorCommand(use, short, args, func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error {
		ch, err := replicaChange(action, args)
		if err != nil {
			return err
		}
		return o.changeReplicas(cmd, c, ch)
	})
}

// replicaChange parses the arguments: ID and, for ReplicaAdd, IP:PORT. Its errors are of type
// *usageError.
func replicaChange(action api.ReplicaAction, args []string) (api.ReplicaChange, error) {
	id, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || id == 0 {
		return api.ReplicaChange{}, &usageError{fmt.Errorf("%q is not the number of a replica", args[0])}
	}
	ch := api.ReplicaChange{ID: id, Action: action}
	if action != api.ReplicaAdd {
		return ch, nil
	}
	ch.Address = args[1]
	if err := settings.HostPort(ch.Address); err != nil {
		return ch, &usageError{err}
	}
	return ch, nil
}

// changeReplicas sends the change and prints the resulting voters and learners.
func (o *operatorSettings) changeReplicas(cmd *cobra.Command, c *operator.Client, ch api.ReplicaChange) error {
	status, err := c.ChangeReplicas(cmd.Context(), ch)
	if err != nil {
		return err
	}
	return o.print(cmd.OutOrStdout(), status, func(w io.Writer) {
		fmt.Fprintf(w, "voters %v, learners %v\n", status.Voters, status.Learners)
	})
}
