// Command capacity runs one measurement of package capacity on this machine and
// prints its table, with a line fitted through each column. Sizes given as
// arguments replace those of docs/CAPACITY.md.
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

// maxCores leaves cores of a shared machine to other processes.
const maxCores = 4

func main() {
	runtime.GOMAXPROCS(min(maxCores, runtime.NumCPU()))
	root := &cobra.Command{Use: "capacity", Short: "Measure the overhead of the system's own components", SilenceUsage: true}
	for _, m := range capacity.Measurements() {
		root.AddCommand(newCommand(m))
	}
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// newCommand returns the subcommand that runs m.
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
					return fmt.Errorf("size %q is not a positive integer", a)
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

// printMachine prints the platform, the cores in use and the load average, on
// which the measured times depend.
func printMachine(cmd *cobra.Command) {
	load := "unknown"
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		load = strings.Join(strings.Fields(string(b))[:3], " ")
	}
	cmd.Printf("%s %s, %d of %d cores, load before %s\n", runtime.GOOS, runtime.GOARCH, runtime.GOMAXPROCS(0), runtime.NumCPU(), load)
}
