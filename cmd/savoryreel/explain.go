package main

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/explain"
)

func newExplain() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain LOG...",
		Short: "Analyse the logs of entries for lost service: when, for which workspaces and why",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			account := explain.NewAccount()
			for _, name := range args {
				if err := explainFile(account, name); err != nil {
					return err
				}
			}
			if account.Requests == 0 {
				return trace.NotFound("no request's end in %d logs; %d lines passed over", len(args), account.Skipped)
			}
			if asJSON {
				return account.WriteJSON(cmd.OutOrStdout())
			}
			return account.WriteTable(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON in place of tables")
	return cmd
}

func explainFile(account *explain.Account, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return trace.Wrap(err, "step=open log")
	}
	defer f.Close()
	return account.Read(name, f)
}
