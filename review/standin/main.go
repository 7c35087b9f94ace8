// Command standin plays one case of the review: it starts the program under review as
// processes on loopback addresses, beside stand-ins for the platform's store, backend
// servers and consumers.
//
// # Usage
//
//	standin CASE RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the case does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trouble says whether the disruption is played.
var trouble = os.Getenv("TROUBLE") != "0"

// cases holds the cases by name. They return whether the rule was broken.
var cases = map[string]func(r *record) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.line("case %s, trouble %v", os.Args[1], trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-stopped:
		o.err = fmt.Errorf("stopped")
		abandon()
	case <-time.After(115 * time.Second):
		o.err = fmt.Errorf("the case took too long")
		abandon()
	}
	switch {
	case o.err != nil:
		r.say("could not run: %v", o.err)
		os.Exit(2)
	case o.broken:
		r.say("the rule is broken")
		os.Exit(1)
	}
	r.say("the rule holds")
}
