//go:build review

// Command driver-2 plays the cases of the second review. Each case starts the project's router as a separate process,
// with the run command of deploy/balancer.toml, between small stand-ins of clients, caches and the notice board on
// loopback addresses. What was sent, answered and run is written to the file record.txt of the case.
//
//	driver-2 CASE ROOT RECORD
//
// ROOT is the root of the repository and RECORD the path of the record. The exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of the command.
const (
	exitHeld        = 0
	exitBroken      = 1
	exitCouldNotRun = 2
)

// caseLimit is how long a case may run. A case that takes longer could not run.
const caseLimit = 100 * time.Second

// errBroken is wrapped by the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// environment is what a case needs of its surroundings.
type environment struct {
	root    string // root of the repository
	trouble bool   // whether the disruption happens
	record  *record
}

// cases maps the name of a case to its function, which returns an error that wraps errBroken if the rule was broken.
var cases = map[string]func(*environment) error{}

func main() { os.Exit(run()) }

func run() int {
	const arguments = 3
	if len(os.Args) != arguments+1 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE ROOT RECORD")
		return exitCouldNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer rec.close()
	go endWhenInterrupted(rec)
	env := &environment{root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", record: rec}
	rec.printf("case %s, trouble %v", os.Args[1], env.trouble)
	return verdict(rec, cases[os.Args[1]](env))
}

// verdict records the outcome of a case and returns the exit code.
func verdict(rec *record, err error) int {
	switch {
	case err == nil:
		rec.printf("verdict: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.printf("verdict: %v", err)
		return exitBroken
	}
	rec.printf("could not run: %v", err)
	return exitCouldNotRun
}

// endWhenInterrupted ends the processes and the command when the case is interrupted or takes too long.
func endWhenInterrupted(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(caseLimit):
	}
	rec.printf("could not run: interrupted, or over %v", caseLimit)
	stopAllProcesses()
	os.Exit(exitCouldNotRun)
}
