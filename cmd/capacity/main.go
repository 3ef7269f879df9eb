// Command capacity prints one table of package capacity: what the system's own
// work costs on this machine, at several sizes, with the line through each
// column. The sizes may be given in place of those of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"savoryreel.example/savoryreel/capacity"
)

// maxCores leaves the rest of a shared machine to others.
const maxCores = 4

func main() {
	runtime.GOMAXPROCS(min(maxCores, runtime.NumCPU()))
	root := &cobra.Command{Use: "capacity", Short: "Measure what the system's own work costs", SilenceUsage: true}
	for _, m := range capacity.Measurements() {
		root.AddCommand(newCommand(m))
	}
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand(m capacity.Measurement) *cobra.Command {
	return &cobra.Command{
		Use: m.Name + " [size...]", Short: m.Short,
		RunE: func(cmd *cobra.Command, args []string) error {
			sizes := m.Sizes
			if len(args) > 0 {
				sizes = nil
			}
			for _, a := range args {
				n, err := strconv.Atoi(a)
				if err != nil || n <= 0 {
					return fmt.Errorf("%q is no size", a)
				}
				sizes = append(sizes, n)
			}
			printMachine(cmd)
			t, err := m.Run(cmd.Context(), sizes...)
			if err != nil {
				return err
			}
			return t.Write(cmd.OutOrStdout())
		},
	}
}

// printMachine tells what times were taken on, as far as it can be found out.
func printMachine(cmd *cobra.Command) {
	load := "unknown"
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		load = strings.Join(strings.Fields(string(b))[:3], " ")
	}
	cmd.Printf("%s %s, %d of %d cores, load before %s\n", runtime.GOOS, runtime.GOARCH, runtime.GOMAXPROCS(0), runtime.NumCPU(), load)
}
