// Package second holds the cases of the second review. A case starts controllers as processes of their
// own, with stand-ins of everything outside on loopback addresses, and checks one rule.
package second

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is wrapped by the errors of cases that could not run.
var errNotRun = errors.New("the case could not run")

// reviewCase runs a case. It returns what broke the rule, or "" if the rule held.
type reviewCase func(r *rig) (broken string, err error)

// cases are the cases by name.
var cases = map[string]reviewCase{
	"replaced-holder":        replacedHolder,
	"waits-for-accelerators": waitsForAccelerators,
	"waits-for-headroom":     waitsForHeadroom,
	"waits-for-gang":         waitsForGang,
	"reused-address":         reusedAddress,
}

// runLimit bounds a run, since a script may take 120 s.
const runLimit = 118 * time.Second

// Main runs the case with a name and exits. The only argument of the program is the path of the record. It
// is started from the root of the repository. The exit status is 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run. With TROUBLE=0 in the environment the case runs without its disruption.
func Main(name string) {
	if len(os.Args) != 2 || cases[name] == nil {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[name], os.Args[1]))
}

// run runs a case and writes its record.
func run(c reviewCase, path string) int {
	r, err := newRig(path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case:", err)
		return exitNotRun
	}
	defer r.close()
	type outcome struct {
		broken string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := c(r)
		done <- outcome{broken, err}
	}()
	var result outcome
	select {
	case result = <-done:
	case <-time.After(runLimit):
		result.err = fmt.Errorf("%w: it takes too long", errNotRun)
	}
	switch {
	case result.err != nil:
		r.log("RESULT could not run: %v", result.err)
		fmt.Println("could not run:", result.err)
		return exitNotRun
	case result.broken != "":
		r.log("RESULT broken: %s", result.broken)
		fmt.Println("broken:", result.broken)
		return exitBroken
	}
	r.log("RESULT held")
	fmt.Println("held")
	return exitHeld
}
