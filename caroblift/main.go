// Command caroblift runs the node beside a backend server.
//
// # Usage
//
//	caroblift --config node.ini
//	caroblift --config node.ini --check
//	caroblift --describe
//
// SIGTERM and SIGINT start a graceful shutdown; a second one ends the drain
// early. SIGHUP reloads the settings.
package main

import (
	"os"

	"caroblift.dev/mesh/process"
	"caroblift.dev/mesh/settings"
)

// program runs a node on caroblift's own platform, with the settings of package
// settings.
var program = process.Program{LoadSettings: settings.Load, DescribeSettings: settings.WriteReference}

func main() { os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr)) }
