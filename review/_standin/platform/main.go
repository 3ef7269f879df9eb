// Command casetool plays the cases of review/ that are scripts: it starts the project's own programs as
// separate processes, with stand-ins for clients, servers and the platform, and checks one rule.
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the scripts by the number of their folder.
var cases = map[string]func(*site) (verdict, error){
	"1": leadersRemoved,
	"2": entriesReplaced,
	"3": coreReplaced,
	"4": serverReborn,
	"5": coreRenewed,
}

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casetool CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(number, recordFile string) int {
	s, err := newSite(recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		s.close()
		os.Exit(exitNotRun)
	}()
	v, err := cases[number](s)
	switch {
	case err != nil:
		s.log("case could not run: %v", err)
		return exitNotRun
	case v.broken:
		s.log("BROKEN: %s", v.text)
		return exitBroken
	default:
		s.log("held: %s", v.text)
		return exitHeld
	}
}
