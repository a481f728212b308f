// Command rig3 plays the cases of the third review that are scripts. It starts the programs of
// the deploy file as separate processes on loopback addresses, with small stand-ins of the
// servers, the clients and the platform around them.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// errNoRun reports that a case could not run.
var errNoRun = errors.New("the case could not run")

// reviewCase is a case of the review. play reports whether its rule was broken.
type reviewCase struct {
	zones  int
	bounds bounds
	play   func(d *deployment, trouble bool) (broken bool, err error)
}

// cases are the cases by the name of their folder.
var cases = map[string]reviewCase{
	"11": {3, small, forgottenDeregistration},
	"12": {6, grown, deadLearners},
	"13": {6, grown, staleReport},
	"14": {3, small, secondRefusal},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE, in the root of the repository")
		return 2
	}
	name := os.Args[1]
	c := cases[name]
	d, err := newDeployment(filepath.Join("review", name, "record.txt"), c.zones, c.bounds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(2)
	}()
	broken, err := c.play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.linef("could not run: %v", err)
		return 2
	case broken:
		d.record.linef("verdict: the rule was broken")
		return 1
	}
	d.record.linef("verdict: the rule held")
	return 0
}
