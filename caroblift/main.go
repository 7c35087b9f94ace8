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
	"os"

	"caroblift.dev/mesh/process"
	"caroblift.dev/mesh/settings"
)

// program runs a node on the product's own platform.
var program = process.Program{Load: settings.Load, Describe: settings.Describe}

func main() { os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr)) }
