// Command carobctl is the operator's command-line client. It connects to the
// operator address of any node.
//
// # Usage
//
//	carobctl --node 127.0.0.1:7105 diff -f records.json
//	carobctl --node 127.0.0.1:7105 apply -f records.json --wait
//	carobctl --node 127.0.0.1:7105 status --json
//
// The exit code reports the outcome; see the exit constants.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes. 0 is success.
const (
	exitDiffers        = 1 // diff found differences
	exitUsage          = 2 // invalid command line or unreadable file
	exitRefused        = 3 // a record is invalid, held back or missing
	exitConflict       = 4 // another operator changed the record first
	exitUnavailable    = 5 // the node or the platform is unavailable; nothing was written
	exitTimeout        = 6 // written, but not in force on every node before the timeout
	exitOutcomeUnknown = 7 // the response was lost; the record may have been written
)

const programHelp = `carobctl writes records of services, routes and backend server policies, and
shows which configuration is in force on which nodes. Any node can answer for
the whole fleet.

To change a record:

$ carobctl get route/stock > stock.json
(edit stock.json)
$ carobctl diff -f stock.json
$ carobctl apply -f stock.json --wait

The output of get includes the version of the record. apply rejects the write if
another operator has changed the record since.

Exit codes: 0 done, 1 diff found differences or check found mistakes, 2 wrong usage or unreadable file,
3 record invalid, held back or missing, 4 another operator changed the record,
5 node or platform unavailable and nothing written, 6 not in force on every node
before the timeout, 7 answer lost and record possibly written.

To complete names in bash: source <(carobctl completion)`

// options holds the flags common to all commands.
type options struct {
	Node    string        `long:"node" env:"CAROBLIFT_NODE" default:"127.0.0.1:7105" value-name:"IP:PORT" description:"operator address of any node"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"timeout of one call to the node"`
}

// app holds the options and standard streams of one invocation.
type app struct {
	options
	nodeGiven bool // the command line or the environment names the node
	in        io.Reader
	out, err  io.Writer
}

// exitError is an error that selects the exit code. An empty text prints nothing.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{in: in, out: out, err: errOut}
	completionNode = nodeFromArgs(args)
	a.nodeGiven = namesNode(args)
	parser := flags.NewNamedParser("carobctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = programHelp
	if _, err := parser.AddGroup("Options", "", &a.options); err != nil {
		panic(err) // invalid struct tag
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // invalid struct tag
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

// command describes one subcommand. The parser calls Execute on its data.
type command struct {
	name, short, long string
	data              flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{"apply", "Write records from files", applyHelp, &applyCommand{app: a}},
		{"check", "Check records before they are sent", checkHelp, &checkCommand{app: a}},
		{"diff", "Show what apply would change", diffHelp, &diffCommand{app: a}},
		{"get", "Print records", getHelp, &getCommand{app: a}},
		{"delete", "Delete a record", deleteHelp, &deleteCommand{app: a}},
		{"status", "Print the configuration in force on the nodes", statusHelp, &statusCommand{app: a}},
		{"members", "Print the instances and their backend servers", membersHelp, &membersCommand{app: a}},
		{"rollout", "Print the services that move to another version", rolloutHelp, &rolloutCommand{app: a}},
		{"explain", "Explain the outcome of a call from node logs", explainHelp, &explainCommand{app: a}},
		{"work", "Sum up what nodes did by kind of work, from their logs", workHelp, &workCommand{app: a}},
		{"completion", "Print a bash completion script", completionHelp, &completionCommand{app: a}},
	}
}
