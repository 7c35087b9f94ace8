package operator

// This file checks configuration documents that have not been sent yet.

import (
	"context"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/configcheck"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// errNoDocument reports that the node reads no document.
var errNoDocument = errors.New("documents cannot be checked: the configuration of this node consists of records")

// CheckDocument implements the Operator service.
func (s *Service) CheckDocument(_ context.Context, req *connect.Request[wire.CheckDocumentRequest]) (*connect.Response[wire.CheckDocumentResponse], error) {
	if s.config.DecodeDocument == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoDocument)
	}
	resp := &wire.CheckDocumentResponse{}
	table, err := s.previewDocument(req.Msg.GetDocument())
	if err != nil {
		var findings record.Findings
		if errors.As(err, &findings) {
			resp.Findings = findings
		}
		resp.Error = strings.ToValidUTF8(err.Error(), "\ufffd")
		return connect.NewResponse(resp), nil
	}
	resp.Findings = table.Findings
	for _, w := range configcheck.Table(table) {
		resp.Warnings = append(resp.Warnings, &wire.Finding{Place: w.Key.String(), Field: w.Field, Reason: w.Reason})
	}
	return connect.NewResponse(resp), nil
}

// previewDocument returns the table that a document would become.
func (s *Service) previewDocument(document []byte) (*revision.Table, error) {
	snapshot, err := s.config.DecodeDocument(document)
	if err != nil {
		return nil, err
	}
	var h revision.Holder
	err = h.Apply(&wire.Update{Snapshot: snapshot})
	return h.Table(), err
}
