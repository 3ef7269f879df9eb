// Package testutil provides TestMain helpers that several packages use.
package testutil

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// defaultRapidSeed is used unless -rapid.seed is given.
const defaultRapidSeed = "20261202"

// Main runs a package's tests and exits. Property tests get a fixed seed, so
// that results are reproducible; -rapid.seed and -rapid.checks override the
// seed and the number of checks. Call it from TestMain.
func Main(m *testing.M) {
	setRapidSeed()
	os.Exit(m.Run())
}

// MainNoLeaks is like Main, but also fails the run if a goroutine is still
// running after the tests.
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
