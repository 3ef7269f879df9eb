// Package testutil holds what the tests of several packages share.
package testutil

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// seed is the seed of property tests where none is given.
const defaultRapidSeed = "20261202"

// Main runs a package's tests with a fixed seed for property tests, so that
// every run gives the same verdict, and exits. Give -rapid.seed and
// -rapid.checks for another or longer run. Call it from TestMain.
func Main(m *testing.M) {
	setRapidSeed()
	os.Exit(m.Run())
}

// MainNoLeaks is Main for a package whose tests must end every goroutine that
// they start: one that is left fails the run.
func MainNoLeaks(m *testing.M) {
	setRapidSeed()
	goleak.VerifyTestMain(m)
}

func setRapidSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(defaultRapidSeed); err != nil {
			panic(err)
		}
	}
}
