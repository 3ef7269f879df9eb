// Command review2 plays the cases of the second review: it starts the project's programs as separate
// processes on loopback addresses, with stand-ins for the platform, and checks what these see.
//
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*bed, bool) error{
	"founders": playFounders,
	"limits":   playLimits,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b.note("case %s, trouble %t", name, trouble)
	err = cases[name](b, trouble)
	switch {
	case err == nil:
		b.note("result: the rule held")
	case errors.Is(err, errBroken):
		b.note("result: %v", err)
	default:
		b.note("result: could not run: %v", err)
	}
	b.close()
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBroken):
		return 1
	default:
		return 2
	}
}
