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

// Exit codes of a Program.
const (
	ExitFailed   = 1
	ExitSettings = 2 // invalid settings or command line
)

// Program is the command-line program of a node. Every field is optional but the
// first.
type Program struct {
	LoadSettings        func(path string) (*wire.Settings, record.Findings) // reads and checks a settings file
	DefaultSettingsPath string                                              // settings file if the command line names none
	DescribeSettings    func(io.Writer) error                               // prints every key of the settings
	NewPlatform         func(*wire.Settings) *node.Platform                 // returns the platform for some settings; nil means the built-in platform protocol
	LogOutput           io.Writer                                           // destination of the log if the settings name no file; os.Stderr if nil
}

// options holds the parsed command line.
type options struct {
	Config   string `long:"config" short:"c" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Describe bool   `long:"describe" description:"print every key of the settings and exit"`
}

// Main parses the command line args and runs the node until it has stopped. It
// returns the exit code.
func (p Program) Main(args []string, out, errOut io.Writer) int {
	opts := options{Config: p.DefaultSettingsPath}
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Fprintln(out, err)
			return 0
		}
		fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	switch {
	case opts.Describe && p.DescribeSettings == nil:
		fmt.Fprintln(errOut, "--describe is not supported: see the documentation of the platform for the keys of its settings")
		return ExitSettings
	case opts.Describe:
		return reportError(errOut, p.DescribeSettings(out))
	case opts.Config == "":
		fmt.Fprintln(errOut, "--config is required")
		return ExitSettings
	}
	s, findings := p.LoadSettings(opts.Config)
	if len(findings) > 0 {
		fmt.Fprintln(errOut, findings.Error())
		return ExitSettings
	}
	if opts.Check {
		fmt.Fprintln(out, "settings are valid")
		return 0
	}
	config := Config{SettingsPath: opts.Config, LoadSettings: p.LoadSettings, LogOutput: p.LogOutput}
	if p.NewPlatform != nil {
		config.Platform = p.NewPlatform(s)
	}
	return reportError(errOut, Run(config, s))
}

// reportError prints an error, if any, and returns the exit code.
func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, err)
	return ExitFailed
}
