package main

// This file implements completion of commands, options and record names.

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

const completionHelp = `Prints a bash script that completes commands, options and record names.

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

// completionTimeout bounds the call that fetches names for completion.
const completionTimeout = 2 * time.Second

// completionNode is the address of the node that is queried for record names. It
// is a global because go-flags creates the flags.Completer values itself, so they
// cannot carry the address.
var completionNode string

// nodeFromArgs returns the node address of a command line that may be incomplete:
// the last --node flag, else CAROBLIFT_NODE, else the default.
func nodeFromArgs(args []string) string {
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

// namesNode reports whether a command line or the environment names the node.
func namesNode(args []string) bool {
	return os.Getenv("CAROBLIFT_NODE") != "" || slices.ContainsFunc(args, func(arg string) bool {
		return arg == "--node" || strings.HasPrefix(arg, "--node=")
	})
}

// recordName is the argument KIND/NAME, with completion.
type recordName string

// Complete implements flags.Completer. It returns nothing if the node does not
// answer.
func (recordName) Complete(match string) []flags.Completion {
	a := &app{options: options{Node: completionNode, Timeout: completionTimeout}}
	resp, err := callNode(a, false, a.client().Get, &wire.GetRequest{})
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
