package main

// This file defines get and delete, and the argument that names a record.

import (
	"fmt"
	"strings"
	"time"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

const getHelp = `Prints records as documents that apply takes, one on a line, with the version
that a change to them starts from.

$ carobctl get
$ carobctl get route
$ carobctl get route/stock
$ carobctl get route --schema 2 > routes.json

With --schema they are converted; diff and apply then move them to that schema
version.`

const deleteHelp = `Deletes one record. A service stays in force until no route in force refers to
it any more. The name keeps its version, so a record written again continues it.

$ carobctl delete route/stock
$ carobctl delete route/stock --version 7 --wait`

// target names a record as kind/name, or a kind.
type target struct {
	Record recordName `positional-arg-name:"KIND/NAME"`
}

func (t target) parse() (record.Key, error) {
	word, name, _ := strings.Cut(string(t.Record), "/")
	kind, ok := record.ParseKind(word)
	if !ok && word != "" {
		return record.Key{}, exitf(exitUsage, "kind %q is none of service, route, policy", word)
	}
	return record.Key{Kind: kind, Name: name}, nil
}

type getCommand struct {
	app    *app
	Schema uint32 `long:"schema" value-name:"VERSION" description:"convert to this schema version"`
	Args   target `positional-args:"yes"`
}

// Execute prints records.
func (c *getCommand) Execute([]string) error {
	key, err := c.Args.parse()
	if err != nil {
		return err
	}
	resp, err := ask(c.app, false, c.app.client().Get, &wire.GetRequest{Kind: key.Kind, Name: key.Name, Schema: c.Schema})
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
	Bound   time.Duration `long:"bound" default:"10s" description:"bound of --wait"`
	Args    target        `positional-args:"yes" required:"yes"`
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
	resp, err := ask(a, true, a.client().Delete, &wire.DeleteRequest{Kind: key.Kind, Name: key.Name, Version: c.Version})
	if err != nil {
		return err
	}
	switch {
	case resp.GetConflict():
		return exitf(exitConflict, "%s: conflict: the platform holds %s", key, versionText(resp.GetPresent()))
	case a.JSON:
		if err := a.printLine(written{Record: key.String(), Version: resp.GetRecord().GetVersion(), Deleted: true}); err != nil {
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
