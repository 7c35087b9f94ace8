// Command stand2 runs the stand-ins and the cases of the second review.
//
// # Usage
//
//	stand2 server ...          a backend server
//	stand2 case NAME RECORD    a case or a trial, whose record is written to a file
//
// The status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *recorder, trouble bool) (broken bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	if err := loadNames(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case len(os.Args) > 1 && os.Args[1] == "server":
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		return 0
	case len(os.Args) == 4 && os.Args[1] == "case" && cases[os.Args[2]] != nil:
		return runCase(os.Args[2], os.Args[3])
	}
	fmt.Fprintln(os.Stderr, "usage: stand2 server ... | stand2 case NAME RECORD")
	return 2
}

// runCase runs a case and returns the status of the program.
func runCase(caseName, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &recorder{file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v", caseName, trouble)
	broken, err := cases[caseName](r, trouble)
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return 2
	case broken:
		r.say("BROKEN")
		return 1
	}
	r.say("held")
	return 0
}
