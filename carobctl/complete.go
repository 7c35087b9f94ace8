package main

// This file completes the names of records out of what the node knows.

import (
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const completionHelp = `Prints a bash script that completes commands, options and names of records.

$ source <(carobctl completion)`

const completionScript = `_carobctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _carobctl carobctl
`

type completionCommand struct{ app *app }

// Execute prints the script.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.app.out, completionScript)
	return err
}

// completionTimeout bounds the call to the node that completes a name.
const completionTimeout = 2 * time.Second

// completionNode is the node that completes names. The library that parses the
// command line makes the values that it asks, so they cannot carry it.
var completionNode string

// nodeOf returns the node that a command line names so far.
func nodeOf(args []string) string {
	node := os.Getenv("CAROBLIFT_NODE")
	for i, arg := range args {
		if v, ok := strings.CutPrefix(arg, "--node="); ok {
			node = v
		} else if arg == "--node" && i+1 < len(args) {
			node = args[i+1]
		}
	}
	if node == "" {
		return "127.0.0.1:7105"
	}
	return node
}

// recordName is the argument KIND/NAME.
type recordName string

// Complete implements flags.Completer.
func (recordName) Complete(match string) []flags.Completion {
	a := &app{options: options{Node: completionNode, Timeout: completionTimeout}}
	resp, err := ask(a, false, a.client().Get, &wire.GetRequest{})
	if err != nil {
		return nil
	}
	var out []flags.Completion
	for _, r := range resp.GetRecords() {
		if name := record.KeyOf(r).String(); strings.HasPrefix(name, match) {
			out = append(out, flags.Completion{Item: name})
		}
	}
	slices.SortFunc(out, func(a, b flags.Completion) int { return strings.Compare(a.Item, b.Item) })
	return out
}
