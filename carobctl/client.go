package main

// This file calls the node's operator API and maps its errors to exit codes.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
	"caroblift.dev/wire/wireconnect"
)

// directClient ignores the proxy settings of the environment.
var directClient = &http.Client{Transport: hop.Transport{Transport: &http.Transport{
	DialContext: new(hop.Dialer).DialContext, MaxResponseHeaderBytes: hop.MaxHeaderBytes,
}}}

// maxResponseBytes bounds the message of a response. The longest holds all records.
const maxResponseBytes = 16 << 20

func (a *app) client() wireconnect.OperatorClient {
	return wireconnect.NewOperatorClient(directClient, "http://"+a.Node, connect.WithReadMaxBytes(maxResponseBytes))
}

// callNode makes one call to the node, bounded by --timeout. A failure is returned
// as an exitError. write says that the call changes a record: if its response is
// lost, the change may have taken effect.
func callNode[Q, R any](a *app, write bool, method func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), req *Q) (*R, error) {
	resp, err := callNodeWithHeader(a, write, method, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// callNodeWithHeader is like callNode and returns the header of the response too.
func callNodeWithHeader[Q, R any](a *app, write bool, method func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), req *Q) (*connect.Response[R], error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	resp, err := method(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, exitf(exitCodeFor(err, write), "node %s: %s", a.Node, err)
	}
	return resp, nil
}

// exitCodeFor returns the exit code for a failed call. write is as in callNode. An error
// that the node has not sent itself leaves open whether the node received the call, unless
// no connection was established.
func exitCodeFor(err error, write bool) int {
	if write && !sentByNode(err) && !hop.IsDialError(err) {
		return exitOutcomeUnknown
	}
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeInvalidArgument, connect.CodeFailedPrecondition:
		return exitRefused
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnavailable:
		return exitUnavailable
	}
	if write {
		return exitOutcomeUnknown
	}
	return exitUnavailable
}

// sentByNode reports whether a node has sent the error. Those that the client derives
// from the status of some other answer, such as a proxy's, have no header.
func sentByNode(err error) bool {
	var e *connect.Error
	return errors.As(err, &e) && connect.IsWireError(e) && e.Meta().Get("Content-Type") == "application/json"
}

// currentRecord returns the record that the platform holds under the key, or nil
// if there is none.
func (a *app) currentRecord(key record.Key) (*wire.Record, error) {
	resp, err := callNode(a, false, a.client().Get, &wire.GetRequest{Kind: key.Kind, Name: key.Name})
	if err != nil || len(resp.GetRecords()) == 0 {
		return nil, err
	}
	return resp.GetRecords()[0], nil
}

// printJSON prints a message as one line of JSON.
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

// printLine prints a value as one line of JSON.
func (a *app) printLine(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(line))
	return err
}
