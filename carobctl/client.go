package main

// This file calls the node and tells what its errors mean.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// direct connects to nodes without the proxy that the environment may name.
var direct = &http.Client{Transport: &http.Transport{}}

func (a *app) client() wireconnect.OperatorClient {
	return wireconnect.NewOperatorClient(direct, "http://"+a.Node)
}

// ask makes one call to the node. A failed read is an exit; so is a failed
// write, which may have taken effect when its answer was lost.
func ask[Q, R any](a *app, write bool, method func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), req *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	resp, err := method(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, exitf(codeOf(err, write), "node %s: %s", a.Node, err)
	}
	return resp.Msg, nil
}

// codeOf returns the exit code for a failed call.
func codeOf(err error, write bool) int {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument, connect.CodeFailedPrecondition:
		return exitRefused
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnavailable:
		return exitDown
	}
	if write {
		return exitUnknown
	}
	return exitDown
}

// present returns the record on the platform, or nil.
func (a *app) present(key record.Key) (*wire.Record, error) {
	resp, err := ask(a, false, a.client().Get, &wire.GetRequest{Kind: key.Kind, Name: key.Name})
	if err != nil || len(resp.GetRecords()) == 0 {
		return nil, err
	}
	return resp.GetRecords()[0], nil
}

// printJSON prints a message on a line.
func (a *app) printJSON(m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	var line bytes.Buffer
	if err := json.Compact(&line, data); err != nil {
		return err
	}
	fmt.Fprintln(a.out, line.String())
	return nil
}

// printLine prints a value as JSON on a line.
func (a *app) printLine(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(line))
	return err
}
