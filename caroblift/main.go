// Command caroblift is the node that runs beside each backend server.
//
// # Usage
//
//	caroblift --config node.ini
//	caroblift --config node.ini --check
//	caroblift --describe
//
// SIGTERM and SIGINT stop it gracefully; a second one ends the wait. SIGHUP
// makes it read its settings again.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"caroblift.dev/mesh/process"
	"caroblift.dev/mesh/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// options are the command line.
type options struct {
	Config   string `long:"config" short:"c" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Describe bool   `long:"describe" description:"print every key of the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Fprintln(out, err)
			return 0
		}
		fmt.Fprintln(errOut, err)
		return exitSettings
	}
	switch {
	case opts.Describe:
		return report(errOut, settings.Describe(out))
	case opts.Config == "":
		fmt.Fprintln(errOut, "--config is required")
		return exitSettings
	}
	s, findings := settings.Load(opts.Config)
	if len(findings) > 0 {
		fmt.Fprintln(errOut, findings.Error())
		return exitSettings
	}
	if opts.Check {
		fmt.Fprintln(out, "settings are valid")
		return 0
	}
	return report(errOut, process.Run(process.Config{Path: opts.Config, Load: settings.Load}, s))
}

// report prints an error and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, err)
	return exitFailed
}
