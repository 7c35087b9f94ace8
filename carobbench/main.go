// Command carobbench measures the system with stand-ins for the platform and the
// backend servers. The other two programs never import its packages.
//
// # Usage
//
//	carobbench demo
//	carobbench converge --nodes 50 --changes 40
//	carobbench demo > demo.txt; carobbench report --out report.html demo.txt
//	carobbench herd --nodes 200
//	carobbench hold --dir out # by carobbench/hold.sh
//	carobbench platform --listen 127.0.0.1:7000
//	carobbench server --service quotes --listen 127.0.0.1:9001 --announce http://127.0.0.1:7104/announce
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// command is a subcommand with its name and help text. Its data holds the flags
// and runs it.
type command struct {
	name, short string
	data        flags.Commander
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []command{
		{"call", "Measure what two nodes add to a call and compare policies", &callCommand{}},
		{"demo", "Run a small fleet in one process and check its guarantees", &demoCommand{}},
		{"faults", "Run a fleet under faults and load and check its guarantees", &faultsCommand{}},
		{"herd", "Kill and restart a whole fleet at once and measure its recovery", &herdCommand{}},
		{"hold", "Measure a node that holds a large member table", &holdCommand{}},
		{"load", "Send calls to running nodes and check the answers", &loadCommand{}},
		{"converge", "Measure convergence time and control bytes", &convergeCommand{}},
		{"platform", "Serve the stand-in for the platform", &platformCommand{}},
		{"report", "Write a page with plots of other runs", &reportCommand{}},
		{"server", "Serve the stand-in for a backend server", &serverCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			panic(err) // only an invalid struct tag makes it fail
		}
	}
	_, err := parser.Parse()
	switch {
	case err == nil:
	case flags.WroteHelp(err):
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
