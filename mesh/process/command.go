package process

// This file defines the command line of a node.

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"caroblift.dev/mesh/node"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Exit codes of a program.
const (
	ExitFailed   = 1
	ExitSettings = 2 // also of a wrong command line
)

// Program is a command that runs a node. Only Load is required.
type Program struct {
	Load     func(path string) (*wire.Settings, record.Findings)
	Path     string                              // of the settings where the command line names none
	Describe func(io.Writer) error               // prints every key of the settings
	Platform func(*wire.Settings) *node.Platform // nil means the product's own
	Log      io.Writer                           // of log lines where the settings name no file; nil means os.Stderr
}

// options are the command line.
type options struct {
	Config   string `long:"config" short:"c" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Describe bool   `long:"describe" description:"print every key of the settings and exit"`
}

// Main runs one command line until the node has stopped and returns the exit
// code.
func (p Program) Main(args []string, out, errOut io.Writer) int {
	opts := options{Config: p.Path}
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Fprintln(out, err)
			return 0
		}
		fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	switch {
	case opts.Describe && p.Describe == nil:
		fmt.Fprintln(errOut, "--describe: the platform describes the keys of its settings")
		return ExitSettings
	case opts.Describe:
		return report(errOut, p.Describe(out))
	case opts.Config == "":
		fmt.Fprintln(errOut, "--config is required")
		return ExitSettings
	}
	s, findings := p.Load(opts.Config)
	if len(findings) > 0 {
		fmt.Fprintln(errOut, findings.Error())
		return ExitSettings
	}
	if opts.Check {
		fmt.Fprintln(out, "settings are valid")
		return 0
	}
	config := Config{Path: opts.Config, Load: p.Load, Out: p.Log}
	if p.Platform != nil {
		config.Platform = p.Platform(s)
	}
	return report(errOut, Run(config, s))
}

// report prints an error and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, err)
	return ExitFailed
}
