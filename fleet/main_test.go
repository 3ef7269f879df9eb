package fleet

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes rapid's seed and number of checks, so that every run gives the
// same verdict. A longer search: -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "100"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		os.Stderr.WriteString(err.Error())
		return 1
	}
	return code
}
