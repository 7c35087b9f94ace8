package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/process"
)

// invalidSettings has five errors, one of which is a missing key.
const invalidSettings = `[instance]
name = quotes-1

[listen]
caller = localhost:7101
hop = 127.0.0.1:7102
peer = 127.0.0.1:7102
backend = 127.0.0.1:7104
operator = 127.0.0.1:7105

[platform]
addresses = 127.0.0.1:7000
wiat = 20000
poll = 10
`

const node1 = "../carobbench/examples/node1.ini"

// runCaroblift runs a command line and returns its exit code and output.
func runCaroblift(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = program.Main(args, &o, &e)
	return code, o.String(), e.String()
}

// TestCheckNamesEveryMistake checks that --check reports all errors of a settings
// file in one run, each with its line and key.
func TestCheckNamesEveryMistake(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(path, []byte(invalidSettings), 0o600))
	code, out, errOut := runCaroblift("--config", path, "--check")
	require.Equal(t, process.ExitSettings, code)
	require.Empty(t, out)
	require.Equal(t, []string{
		path + ":1: instance.domain: is required (word)",
		path + `:5: listen.caller: "localhost:7101" is not an IP:port`,
		path + ":7: listen.peer: 127.0.0.1:7102 is taken by listen.hop already",
		path + `:13: platform.wiat: key is unknown; did you mean "wait"?`,
		path + ":14: platform.poll: 10 is outside 50 to 60000 ms",
	}, strings.Split(strings.TrimSpace(errOut), "\n"))
}

// TestCommandLine checks the exit code and output for each kind of command line.
func TestCommandLine(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"check":       {[]string{"--config", node1, "--check"}, 0, "settings are valid"},
		"describe":    {[]string{"--describe"}, 0, "# Settings of a node"},
		"help":        {[]string{"--help"}, 0, "--config="},
		"no config":   {nil, process.ExitSettings, "--config is required"},
		"no file":     {[]string{"--config", "none.ini"}, process.ExitSettings, "none.ini: open none.ini: no such file"},
		"unknown":     {[]string{"--conf", "x"}, process.ExitSettings, "unknown flag `conf'"},
		"a directory": {[]string{"--config", "."}, process.ExitSettings, "is a directory"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := runCaroblift(c.args...)
			require.Equal(t, c.code, code)
			require.Contains(t, out+errOut, c.want)
		})
	}
}
