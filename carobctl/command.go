package main

// This file defines the commands.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// callTimeout bounds one call to a node.
const callTimeout = 10 * time.Second

func client() wireconnect.OperatorClient {
	return wireconnect.NewOperatorClient(http.DefaultClient, "http://"+opts.Node)
}

func timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// down turns a failed call into an exit.
func down(err error) error {
	code := exitDown
	if connect.CodeOf(err) == connect.CodeNotFound {
		code = exitRefused
	}
	return &exitError{code: code, text: "node " + opts.Node + ": " + err.Error()}
}

func printJSON(m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	fmt.Println(string(data))
	return nil
}

// document is one record in a file.
type document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Schema  uint32          `json:"schema"`
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

// readFile returns the records of a file of JSON documents, one after another.
func readFile(path string) ([]*wire.Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []*wire.Record
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	for {
		var d document
		err := dec.Decode(&d)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, &exitError{code: exitUsage, text: fmt.Sprintf("%s: byte %d: %s", path, dec.InputOffset(), err)}
		}
		kind, ok := record.ParseKind(d.Kind)
		if !ok {
			return nil, &exitError{code: exitUsage, text: fmt.Sprintf("%s: record %q: kind %q is unknown", path, d.Name, d.Kind)}
		}
		out = append(out, &wire.Record{Kind: kind, Name: d.Name, Schema: d.Schema, Version: d.Version, Body: d.Spec})
	}
}

type applyCommand struct {
	Files []string `long:"file" short:"f" required:"true" description:"file of records"`
	Force bool     `long:"force" description:"write over whatever version is present"`
}

// Execute writes the records in the order of the files.
func (c *applyCommand) Execute([]string) error {
	var records []*wire.Record
	for _, path := range c.Files {
		rs, err := readFile(path)
		if err != nil {
			return err
		}
		records = append(records, rs...)
	}
	for _, r := range records {
		if err := c.apply(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *applyCommand) apply(r *wire.Record) error {
	ctx, cancel := timeout()
	defer cancel()
	resp, err := client().Apply(ctx, connect.NewRequest(&wire.ApplyRequest{Record: r, Force: c.Force || r.GetVersion() == 0}))
	if err != nil {
		return down(err)
	}
	key := record.KeyOf(r)
	switch m := resp.Msg; {
	case len(m.GetFindings()) > 0:
		return &exitError{code: exitRefused, text: record.Findings(m.GetFindings()).Error()}
	case m.GetConflict():
		return &exitError{code: exitConflict, text: fmt.Sprintf("%s: platform holds version %d, file has %d", key, m.GetPresent().GetVersion(), r.GetVersion())}
	case opts.JSON:
		return printJSON(m)
	case m.GetUnchanged():
		fmt.Printf("%s unchanged at version %d\n", key, m.GetRecord().GetVersion())
	default:
		fmt.Printf("%s written as version %d\n", key, m.GetRecord().GetVersion())
	}
	return nil
}

// target is the positional argument kind/name.
type target struct {
	Record string `positional-arg-name:"KIND[/NAME]"`
}

func (t target) parse() (record.Key, error) {
	word, name, _ := strings.Cut(t.Record, "/")
	kind, ok := record.ParseKind(word)
	if !ok && word != "" {
		return record.Key{}, &exitError{code: exitUsage, text: fmt.Sprintf("kind %q is unknown", word)}
	}
	return record.Key{Kind: kind, Name: name}, nil
}

type getCommand struct {
	Args target `positional-args:"yes"`
}

// Execute prints records as documents that apply takes.
func (c *getCommand) Execute([]string) error {
	key, err := c.Args.parse()
	if err != nil {
		return err
	}
	ctx, cancel := timeout()
	defer cancel()
	resp, err := client().Get(ctx, connect.NewRequest(&wire.GetRequest{Kind: key.Kind, Name: key.Name}))
	if err != nil {
		return down(err)
	}
	if key.Name != "" && len(resp.Msg.GetRecords()) == 0 {
		return &exitError{code: exitRefused, text: key.String() + " does not exist"}
	}
	for _, r := range resp.Msg.GetRecords() {
		d := document{Kind: record.KindWord(r.GetKind()), Name: r.GetName(), Schema: r.GetSchema(), Version: r.GetVersion(), Spec: r.GetBody()}
		data, err := json.Marshal(d)
		if err != nil {
			return err
		}
		fmt.Println(string(data))
	}
	return nil
}

type deleteCommand struct {
	Version uint64 `long:"version" description:"delete only this version"`
	Args    target `positional-args:"yes" required:"yes"`
}

// Execute deletes one record.
func (c *deleteCommand) Execute([]string) error {
	key, err := c.Args.parse()
	if err != nil {
		return err
	}
	ctx, cancel := timeout()
	defer cancel()
	resp, err := client().Delete(ctx, connect.NewRequest(&wire.DeleteRequest{Kind: key.Kind, Name: key.Name, Version: c.Version}))
	if err != nil {
		return down(err)
	}
	if resp.Msg.GetConflict() {
		return &exitError{code: exitConflict, text: fmt.Sprintf("%s: platform holds version %d", key, resp.Msg.GetPresent().GetVersion())}
	}
	fmt.Printf("%s deleted as version %d\n", key, resp.Msg.GetRecord().GetVersion())
	return nil
}

type statusCommand struct{}

// Execute prints what is in force and where.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := timeout()
	defer cancel()
	resp, err := client().Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return down(err)
	}
	m := resp.Msg
	if opts.JSON {
		return printJSON(m)
	}
	fmt.Printf("revision %d in force, %d live nodes, platform answers: %t\n", m.GetRevision(), m.GetNodes(), m.GetPlatform())
	for _, n := range m.GetReport().GetCounts() {
		fmt.Printf("  %-16s revision %-8d %d nodes\n", n.GetDomain(), n.GetRevision(), n.GetNodes())
	}
	for _, l := range m.GetReport().GetLaggards() {
		fmt.Printf("  behind: %s (%s) at %d: %s\n", l.GetName(), l.GetDomain(), l.GetRevision(), record.Findings(l.GetFindings()).Error())
	}
	for _, h := range m.GetHeld() {
		fmt.Printf("  held: %s/%s version %d\n%s\n", record.KindWord(h.GetKind()), h.GetName(), h.GetVersion(), record.Findings(h.GetFindings()).Error())
	}
	return nil
}
