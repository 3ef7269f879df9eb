package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/control/api"
	"savoryreel.example/savoryreel/entry"
	"savoryreel.example/savoryreel/operator"
)

// statusView is the output of the status command.
type statusView struct {
	Replicas []api.ReplicaStatus `json:"replicas"`
	Entries  []entry.StatusView  `json:"entries,omitempty"`
}

func newStatus() *cobra.Command {
	var entries []string
	cmd := operatorCommand("status", "Show control replicas, entries and backend servers", cobra.NoArgs,
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, _ []string) error {
			v := statusView{Replicas: c.Replicas(cmd.Context())}
			for _, addr := range entries {
				v.Entries = append(v.Entries, operator.EntryStatus(cmd.Context(), addr))
			}
			return o.print(cmd.OutOrStdout(), v, v.table)
		})
	cmd.Flags().StringSliceVar(&entries, "entry-ops", nil, "operations addresses of entries to ask")
	return cmd
}

func (v *statusView) table(w io.Writer) {
	fmt.Fprintln(w, "REPLICA\tROLE\tTERM\tLEADER\tLAST\tCOMMIT\tAPPLIED\tCATALOGUE\tLEDGER")
	for _, r := range v.Replicas {
		if r.Error != "" {
			fmt.Fprintf(w, "%s\tno answer: %s\n", r.ID, firstLine(r.Error))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\n", r.ID, r.Role, r.Term, r.Leader, r.LastIndex, r.CommitIndex, r.AppliedIndex, r.CatalogueVersion, r.LedgerRecords)
	}
	for _, e := range v.Entries {
		v.entry(w, e)
	}
}

func (v *statusView) entry(w io.Writer, e entry.StatusView) {
	if e.Error != "" {
		fmt.Fprintf(w, "\nENTRY %s\tno answer: %s\n", e.ID, firstLine(e.Error))
		return
	}
	fmt.Fprintf(w, "\nENTRY %s\tzone %s\t%s\tcatalogue %d\tconfirmed %d ms ago\t%d unfinished\n", e.ID, e.Zone, e.Phase, e.Catalogue, e.ConfirmedAgeMs, e.Unfinished)
	fmt.Fprintln(w, "MEMBER\tROLE\tSTATE\tZONE\tCATALOGUE\tBEHIND")
	for _, m := range e.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", m.ID, m.Role, m.State, m.Zone, m.Catalogue, max(0, int64(e.Catalogue)-int64(m.Catalogue)))
	}
	fmt.Fprintln(w, "SERVER\tSTATE\tZONE\tSERVES\tSLOTS\tRUNNING\tWAITING")
	for _, s := range e.Servers {
		serves := strings.Join(append([]string{s.Model}, s.Services...), ",")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", s.ID, s.State, s.Zone, strings.Trim(serves, ","), s.Slots, s.Load.Running, s.Load.Waiting)
	}
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
