// Command standin2 has the stand-ins of the second review and runs its cases. It speaks the platform's published
// protocol: a store, a service for machines, and minions as processes of their own.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	caseInvalid = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "minion" {
		minionMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the root of the repository")
		os.Exit(caseInvalid)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(c func(*world) (bool, error), folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseInvalid
	}
	defer w.close()
	broken, err := c(w)
	switch {
	case err != nil:
		w.note("case", "invalid:", err)
		if !errors.Is(err, errUnusable) {
			fmt.Fprintln(os.Stderr, err)
		}
		return caseInvalid
	case broken:
		w.note("case", "the rule was broken")
		return ruleBroken
	default:
		w.note("case", "the rule held")
		return ruleHeld
	}
}
