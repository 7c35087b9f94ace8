// Command carobctl is the operator's command line. It talks to any node.
//
// # Usage
//
//	carobctl --node 127.0.0.1:7005 apply -f records.json
//	carobctl --node 127.0.0.1:7005 status --json
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitUsage    = 2 // the command line or a file is wrong
	exitRefused  = 3 // a record was refused
	exitConflict = 4 // another operator was faster
	exitDown     = 5 // the node or the platform does not answer
)

// options are shared by all commands.
type options struct {
	Node string `long:"node" env:"CAROBLIFT_NODE" default:"127.0.0.1:7005" description:"operator address of any node"`
	JSON bool   `long:"json" description:"print JSON"`
}

var opts options

// exitError ends the program with a code.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func main() {
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"apply", "Write the records of files", &applyCommand{}},
		{"get", "Print records", &getCommand{}},
		{"delete", "Delete a record", &deleteCommand{}},
		{"status", "Print what is in force and where", &statusCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			panic(err) // a wrong struct tag
		}
	}
	_, err := parser.Parse()
	if err == nil {
		return
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.code)
	}
	os.Exit(exitUsage)
}
