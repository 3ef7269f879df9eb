// Command capacity runs one measurement of package capacity and prints its table: the cost of
// the system's own work on this machine at several sizes, with a linear fit for each column.
// Arguments replace the default sizes, which are those of docs/CAPACITY.md.
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

// maxCores limits GOMAXPROCS, so that a measurement does not occupy a shared machine.
const maxCores = 4

func main() {
	runtime.GOMAXPROCS(min(maxCores, runtime.NumCPU()))
	root := &cobra.Command{Use: "capacity", Short: "Measure what the system's own work costs", SilenceUsage: true}
	for _, m := range capacity.Measurements() {
		root.AddCommand(command(m))
	}
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func command(m capacity.Measurement) *cobra.Command {
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

// printMachine prints the platform, the cores and the load average before the measurement.
func printMachine(cmd *cobra.Command) {
	load := "unknown"
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		load = strings.Join(strings.Fields(string(b))[:3], " ")
	}
	cmd.Printf("%s %s, %d of %d cores, load before %s\n", runtime.GOOS, runtime.GOARCH, runtime.GOMAXPROCS(0), runtime.NumCPU(), load)
}
