//go:build review

// The driver plays the cases of the review: it starts a router with the run command of the deploy file, plays the
// clients, caches and notice board as the users' pages describe them, and judges what these saw.
//
//	driver CASE RECORD
//
// CASE is the name of a case, RECORD the path of the record that is written. With TROUBLE=0 in the environment the
// disruption is left out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// cases are the cases by name. Each reports whether its rule held.
var cases = map[string]func(*record) (held bool, err error){
	"twice":      playTwice,
	"memory":     playMemory,
	"cold-cache": playColdCache,
}

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	dir   string // temporary folder of the case
}

// note writes a line with the seconds since the start.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// troubled reports whether the case plays its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(play func(*record) (bool, error), path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer os.RemoveAll(dir)
	r := &record{file: file, start: time.Now(), dir: dir}
	r.note("with the disruption: %v", troubled())
	held, err := play(r)
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
		fmt.Println("could not run:", err)
		return exitCouldNot
	case held:
		r.note("the rule held")
		fmt.Println("held")
		return exitHeld
	}
	r.note("the rule was broken")
	fmt.Println("broken")
	return exitBroken
}
