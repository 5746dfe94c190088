// Command standin runs one case of the review: the platform, the minions and the clients are
// stand-ins in this process; the entries are processes of the system under test.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const usage = "usage: standin SCENARIO ROOT DIRECTORY"

const (
	// settle is how long the entries get to take over their duties before the clients begin.
	settle = 4 * time.Second
	// maxTime is the longest time that a case may take.
	maxTime = 118 * time.Second
)

// scenarios run a case with or without its disruption and report whether the rule was broken.
var scenarios = map[string]func(w *world, trouble bool) bool{
	"agent":     runAgent,
	"crashes":   runCrashes,
	"ends":      runEnds,
	"schedule":  runSchedule,
	"starved":   runStarved,
	"unlisted":  runUnlisted,
	"withdrawn": runWithdrawn,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitUnable)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fail(err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(root, os.Args[3])
	time.AfterFunc(maxTime, func() { fail(errors.New("it takes too long")) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fail(errors.New("it was interrupted"))
	}()
	broken := scenarios[os.Args[1]](w, trouble)
	if broken {
		w.record("result: the rule was broken")
	} else {
		w.record("result: the rule held")
	}
	w.close()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
