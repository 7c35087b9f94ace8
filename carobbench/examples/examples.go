// Package examples holds the records and settings that ship with the system,
// for both deployments.
//
// # Usage
//
//	records := examples.Jieming
package examples

import _ "embed"

// Jieming holds the records of the quoting and drawings services.
//
//go:embed jieming/records.json
var Jieming []byte

// Tamirhane holds the records of the repairs and manuals services.
//
//go:embed tamirhane/records.json
var Tamirhane []byte
