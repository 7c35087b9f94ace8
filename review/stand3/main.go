// Command stand3 runs the cases of the third review that are scripts: it starts a small
// deployment of the project's own program on loopback addresses, with stand-ins for the
// platform's store, the backends and the consumers, and checks one rule.
//
// # Usage
//
//	stand3 case NUMBER DIR    # writes DIR/record.txt; TROUBLE=0 leaves the disruption out
//	stand3 backend CONFIG     # one backend; started by a case
//
// A case exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds a case. The issue allows 120 s.
const caseLimit = 100 * time.Second

func main() {
	switch {
	case len(os.Args) == 3 && os.Args[1] == "backend":
		fmt.Fprintln(os.Stderr, "backend:", runBackend(os.Args[2]))
		os.Exit(exitNotRun)
	case len(os.Args) == 4 && os.Args[1] == "case":
		os.Exit(runCase(os.Args[2], os.Args[3]))
	}
	fmt.Fprintln(os.Stderr, "usage: stand3 case NUMBER DIR")
	os.Exit(exitNotRun)
}

// record is the record of a case.
type record struct {
	mu   sync.Mutex
	file *os.File
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, format+"\n", args...)
}

// trial is one run of a case.
type trial struct {
	*rig
	trouble bool
}

// cases are the cases by number. They report how the rule was broken; an empty text means
// that it held.
var cases = map[string]func(*trial) (broken string, err error){}

func runCase(number, dir string) int {
	run, ok := cases[number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", number)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	rec := &record{file: out}
	broken, err := runTrial(run, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("result: the case could not run: %s", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken != "":
		rec.add("result: broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.add("result: held")
	fmt.Println("held")
	return exitHeld
}

func runTrial(run func(*trial) (string, error), rec *record, trouble bool) (string, error) {
	root, err := os.Getwd() // run.sh changes to the root of the repository
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "caroblift-review-")
	if err != nil {
		return "", err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("files are kept in", dir)
	}
	g, err := newRig(root, dir, rec)
	if err != nil {
		return "", err
	}
	defer g.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(&trial{rig: g, trouble: trouble})
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return r.broken, r.err
	case <-interrupted:
		return "", fmt.Errorf("interrupted")
	case <-time.After(caseLimit):
		return "", fmt.Errorf("not done after %s", caseLimit)
	}
}
