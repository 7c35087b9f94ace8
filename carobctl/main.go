// Command carobctl is the operator's command line. It talks to any node.
//
// # Usage
//
//	carobctl --node 127.0.0.1:7105 diff -f records.json
//	carobctl --node 127.0.0.1:7105 apply -f records.json --wait
//	carobctl --node 127.0.0.1:7105 status --json
//
// The exit code tells what came of it; see the constants below.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitDiffers  = 1 // diff found differences
	exitUsage    = 2 // the command line or a file cannot be read
	exitRefused  = 3 // a record was refused, is held back, or does not exist
	exitConflict = 4 // another operator wrote in between
	exitDown     = 5 // the node or the platform does not answer; nothing was written
	exitTimeout  = 6 // written, and not in force everywhere within the bound
	exitUnknown  = 7 // the answer was lost; the record may have been written
)

const about = `carobctl writes records of services, routes and backend server policies, and
reads back what is in force and where. Every node answers for the whole fleet.

A first change:

$ carobctl get route/stock > stock.json
(edit stock.json)
$ carobctl diff -f stock.json
$ carobctl apply -f stock.json --wait

What get prints carries the version that you saw, so apply refuses to write over
a change that another operator made since.

Exit codes: 0 done, 1 diff found differences, 2 wrong usage or unreadable file,
3 record refused, held back or missing, 4 another operator wrote in between,
5 node or platform down and nothing written, 6 not in force everywhere in time,
7 answer lost and perhaps written.

Names complete in bash after: source <(carobctl completion)`

// options are shared by all commands.
type options struct {
	Node    string        `long:"node" env:"CAROBLIFT_NODE" default:"127.0.0.1:7105" value-name:"IP:PORT" description:"operator address of any node"`
	JSON    bool          `long:"json" description:"print JSON for programs"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"bound of one call to the node"`
}

// app is one run of the program.
type app struct {
	options
	in       io.Reader
	out, err io.Writer
}

// exitError ends the program with a code.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run runs one command line and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out, err: errOut}
	completionNode = nodeOf(args)
	parser := flags.NewNamedParser("carobctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	if _, err := parser.AddGroup("Options", "", &a.options); err != nil {
		panic(err) // a wrong struct tag
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // a wrong struct tag
		}
	}
	parser.CompletionHandler = func(items []flags.Completion) {
		for _, item := range items {
			fmt.Fprintln(out, item.Item)
		}
	}
	_, err := parser.ParseArgs(args)
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
		return 0
	case errors.As(err, &exit):
		if exit.text != "" {
			fmt.Fprintln(errOut, exit.text)
		}
		return exit.code
	}
	fmt.Fprintln(errOut, err)
	return exitUsage
}

// command is one subcommand; its Execute runs it.
type command struct {
	name, short, long string
	data              flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"apply", "Write the records of files", applyHelp, &applyCommand{app: a}},
		{"diff", "Show what apply would change", diffHelp, &diffCommand{app: a}},
		{"get", "Print records", getHelp, &getCommand{app: a}},
		{"delete", "Delete a record", deleteHelp, &deleteCommand{app: a}},
		{"status", "Print what is in force and where", statusHelp, &statusCommand{app: a}},
		{"members", "Print the instances and their backend servers", membersHelp, &membersCommand{app: a}},
		{"explain", "Tell from logs what became of a call", explainHelp, &explainCommand{app: a}},
		{"completion", "Print a script that completes names in bash", completionHelp, &completionCommand{app: a}},
	}
}
