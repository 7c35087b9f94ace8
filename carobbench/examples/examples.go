// Package examples embeds the example records and settings of the two
// deployments, Jieming and Tamirhane.
//
// # Usage
//
//	records := examples.Jieming
//	files, err := fs.Glob(examples.Settings, "jieming/*.ini")
package examples

import "embed"

// Jieming holds the records of the quoting and drawings services.
//
//go:embed jieming/records.json
var Jieming []byte

// Tamirhane holds the records of the repairs and manuals services.
//
//go:embed tamirhane/records.json
var Tamirhane []byte

// Settings holds the settings of each instance as DEPLOYMENT/INSTANCE.ini.
//
//go:embed jieming/*.ini tamirhane/*.ini
var Settings embed.FS
