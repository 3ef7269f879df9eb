package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/contract"
	"savoryreel.example/savoryreel/operator"
	"savoryreel.example/savoryreel/settings"
)

// operatorSettings holds the settings that all operator commands share.
type operatorSettings struct {
	set     *settings.Set
	control []string
	key     string
	output  string
}

func addOperatorSettings(cmd *cobra.Command) *operatorSettings {
	o := &operatorSettings{set: settings.New(cmd.Flags())}
	o.set.Strings(&o.control, "control-operators", []string{"127.0.0.1:7102"}, "operator addresses of the control replicas", settings.HostPorts)
	o.set.Secret(&o.key, "operator-key", "bearer key of the operators", settings.Required)
	cmd.Flags().StringVarP(&o.output, "output", "o", "table", "table or json")
	return o
}

func (o *operatorSettings) client() (*operator.Client, error) {
	if err := o.set.Load(); err != nil {
		return nil, err
	}
	if o.output != "table" && o.output != "json" {
		return nil, &usageError{fmt.Errorf("--output %q is not table or json", o.output)}
	}
	return operator.New(o.control, o.key), nil
}

// print writes v as JSON, or calls rows to write it as a table, depending on --output.
func (o *operatorSettings) print(w io.Writer, v any, rows func(w io.Writer)) error {
	if o.output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	rows(tw)
	return tw.Flush()
}

// operatorCommand returns a command that calls run with a client of the control replicas. An
// error of args is a usageError.
func operatorCommand(use, short string, args cobra.PositionalArgs, run func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: func(cmd *cobra.Command, a []string) error {
		if err := args(cmd, a); err != nil {
			return &usageError{err}
		}
		return nil
	}}
	o := addOperatorSettings(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := o.client()
		if err != nil {
			return err
		}
		ctx, cancel := clientContext(cmd)
		defer cancel()
		cmd.SetContext(ctx)
		return run(cmd, o, c, args)
	}
	return cmd
}

func newCatalogue() *cobra.Command {
	cmd := &cobra.Command{Use: "catalogue", Short: "Read and change the catalogue"}
	cmd.AddCommand(newApply(), newGet(), newDiff(), newHistory(), newValidate())
	return cmd
}

func newApply() *cobra.Command {
	var base uint64
	cmd := operatorCommand("apply FILE", "Put a catalogue in force", cobra.ExactArgs(1),
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error {
			doc, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			if _, err := contract.Parse(doc); err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				current, err := c.Catalogue(cmd.Context())
				if err != nil {
					return err
				}
				base = current.Version
			}
			result, err := c.Apply(cmd.Context(), doc, base)
			if err != nil {
				return err
			}
			return o.printResult(cmd, result)
		})
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the file was made against; without it, the one in force now")
	return cmd
}

func (o *operatorSettings) printResult(cmd *cobra.Command, r contract.Result) error {
	return o.print(cmd.OutOrStdout(), r, func(w io.Writer) {
		fmt.Fprintf(w, "%s: version %d is in force\n", r.Code, r.Version)
	})
}

// readDocument returns the content of a file, or of standard input if name is "-".
func readDocument(cmd *cobra.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(cmd.InOrStdin(), contract.MaxDocumentBytes+1))
	}
	return os.ReadFile(name)
}

func newGet() *cobra.Command {
	return operatorCommand("get", "Print the catalogue in force as YAML", cobra.NoArgs,
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, _ []string) error {
			v, err := c.Catalogue(cmd.Context())
			if err != nil {
				return err
			}
			doc, err := contract.Format(v.Catalogue)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), v, func(w io.Writer) {
				fmt.Fprintf(w, "# version %d\n%s", v.Version, doc)
			})
		})
}

func newDiff() *cobra.Command {
	return operatorCommand("diff FILE", "Show what applying a file would change", cobra.ExactArgs(1),
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error {
			doc, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			next, err := contract.Parse(doc)
			if err != nil {
				return err
			}
			v, err := c.Catalogue(cmd.Context())
			if err != nil {
				return err
			}
			diff := contract.Diff(v.Catalogue, next)
			return o.print(cmd.OutOrStdout(), diff, func(w io.Writer) {
				for _, d := range diff {
					fmt.Fprintln(w, d)
				}
				if len(diff) == 0 {
					fmt.Fprintf(w, "no difference to version %d\n", v.Version)
				}
			})
		})
}

func newHistory() *cobra.Command {
	var n int
	cmd := operatorCommand("history", "List the newest changes", cobra.NoArgs,
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, _ []string) error {
			entries, err := c.History(cmd.Context(), n)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), entries, func(w io.Writer) {
				fmt.Fprintln(w, "VERSION\tAT\tBY\tKIND\tCHANGES")
				for _, e := range entries {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Version, e.At.Format(time.RFC3339), e.By, e.Kind, strings.Join(e.Summary, "; "))
				}
			})
		})
	cmd.Flags().IntVarP(&n, "count", "n", 20, "how many")
	return cmd
}

func newValidate() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a catalogue file without applying it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(cmd, args[0])
			if err != nil {
				return err
			}
			c, err := contract.Parse(doc)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "valid: %d workspaces, %d services\n", len(c.Workspaces), len(c.Services))
			return nil
		},
	}
}

func newStop() *cobra.Command {
	cmd := &cobra.Command{Use: "stop", Short: "Plan, list and cancel stops"}
	cmd.AddCommand(newStopPlan(), newStopList(), newStopCancel())
	return cmd
}

func newStopPlan() *cobra.Command {
	var s contract.Stop
	var from string
	cmd := operatorCommand("plan SCOPE NAME", "Plan a graceful stop of an instance, a zone or a service", cobra.ExactArgs(2),
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error {
			s.Scope, s.Name = contract.StopScope(args[0]), args[1]
			if s.ID == "" {
				s.ID = strings.ToLower(args[0] + "-" + args[1])
			}
			if from != "" {
				at, err := time.Parse(time.RFC3339, from)
				if err != nil {
					return &usageError{fmt.Errorf("--from %q is not a time such as 2026-12-02T08:00:00Z", from)}
				}
				s.From = at
			}
			if err := s.Validate(); err != nil {
				return &usageError{err}
			}
			result, err := c.PlanStop(cmd.Context(), s)
			if err != nil {
				return err
			}
			return o.printResult(cmd, result)
		})
	cmd.Flags().StringVar(&s.ID, "id", "", "name of the stop; without it, SCOPE-NAME")
	cmd.Flags().StringVar(&s.Reason, "reason", "", "why, for the other operators")
	cmd.Flags().StringVar(&from, "from", "", "when it begins (RFC 3339); without it, now")
	return cmd
}

func newStopList() *cobra.Command {
	return operatorCommand("list", "List the planned stops in force", cobra.NoArgs,
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, _ []string) error {
			stops, err := c.Stops(cmd.Context())
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), stops, func(w io.Writer) {
				fmt.Fprintln(w, "ID\tSCOPE\tNAME\tFROM\tREASON")
				for _, s := range stops {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.ID, s.Scope, s.Name, s.From.Format(time.RFC3339), s.Reason)
				}
			})
		})
}

func newStopCancel() *cobra.Command {
	return operatorCommand("cancel ID", "Cancel a planned stop", cobra.ExactArgs(1),
		func(cmd *cobra.Command, o *operatorSettings, c *operator.Client, args []string) error {
			result, err := c.CancelStop(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return o.printResult(cmd, result)
		})
}

func newKey() *cobra.Command {
	return &cobra.Command{
		Use: "key-hash", Short: "Print the hash of a workspace key read from standard input", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := io.ReadAll(io.LimitReader(cmd.InOrStdin(), 4096))
			if err != nil {
				return err
			}
			trimmed := strings.TrimSpace(string(key))
			if trimmed == "" {
				return &usageError{fmt.Errorf("no key on standard input")}
			}
			fmt.Fprintln(cmd.OutOrStdout(), contract.HashKey(trimmed))
			return nil
		},
	}
}
