package main

// This file implements get and delete, and parses the argument KIND/NAME.

import (
	"fmt"
	"strings"
	"time"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const getHelp = `Prints records as documents that apply accepts, one per line. Each includes the
version that a change to the record is based on.

$ carobctl get
$ carobctl get route
$ carobctl get route/stock
$ carobctl get route --schema 2 > routes.json

With --schema the records are converted to that schema version. Applying the
output migrates them.`

const deleteHelp = `Deletes one record. A service stays in force as long as a route in force refers
to it. The version of the name is kept: a record written under the same name
later continues from it.

$ carobctl delete route/stock
$ carobctl delete route/stock --version 7 --wait`

// recordArg is a positional argument that names a record as KIND/NAME, or all
// records of a KIND.
type recordArg struct {
	Record recordName `positional-arg-name:"KIND/NAME"`
}

// parse returns the key that the argument names. Its name is empty for a kind,
// and its kind is unspecified for an empty argument.
func (t recordArg) parse() (record.Key, error) {
	kindName, name, _ := strings.Cut(string(t.Record), "/")
	kind, ok := record.ParseKind(kindName)
	if !ok && kindName != "" {
		return record.Key{}, exitf(exitUsage, "kind %q is none of service, route, policy", kindName)
	}
	return record.Key{Kind: kind, Name: name}, nil
}

type getCommand struct {
	app    *app
	Schema uint32    `long:"schema" value-name:"VERSION" description:"convert to this schema version"`
	Args   recordArg `positional-args:"yes"`
}

// Execute prints the records.
func (c *getCommand) Execute([]string) error {
	key, err := c.Args.parse()
	if err != nil {
		return err
	}
	resp, err := callNode(c.app, false, c.app.client().Get, &wire.GetRequest{Kind: key.Kind, Name: key.Name, Schema: c.Schema})
	if err != nil {
		return err
	}
	if key.Name != "" && len(resp.GetRecords()) == 0 {
		return exitf(exitRefused, "%s does not exist", key)
	}
	for _, r := range resp.GetRecords() {
		if err := printDocument(c.app.out, r); err != nil {
			return err
		}
	}
	return nil
}

type deleteCommand struct {
	app     *app
	Version uint64        `long:"version" description:"delete only this version"`
	Wait    bool          `long:"wait" description:"wait until the deletion is in force on every node"`
	Bound   time.Duration `long:"bound" default:"10s" description:"timeout of --wait"`
	Args    recordArg     `positional-args:"yes" required:"yes"`
}

// Execute deletes one record.
func (c *deleteCommand) Execute([]string) error {
	key, err := c.Args.parse()
	if err != nil {
		return err
	}
	if key.Name == "" {
		return exitf(exitUsage, "%s names no record; write KIND/NAME", c.Args.Record)
	}
	a := c.app
	resp, err := callNode(a, true, a.client().Delete, &wire.DeleteRequest{Kind: key.Kind, Name: key.Name, Version: c.Version})
	if err != nil {
		return err
	}
	switch {
	case resp.GetConflict():
		return exitf(exitConflict, "%s: conflict: the platform holds %s", key, formatVersion(resp.GetPresent()))
	case a.JSON:
		if err := a.printLine(writeResult{Record: key.String(), Version: resp.GetRecord().GetVersion(), Deleted: true}); err != nil {
			return err
		}
	default:
		fmt.Fprintf(a.out, "%s deleted as version %d\n", key, resp.GetRecord().GetVersion())
	}
	if !c.Wait {
		return nil
	}
	return a.wait([]*wire.Record{resp.GetRecord()}, c.Bound)
}
