// Package operator serves the operator port of a node: it reads and writes records
// for operators and reports which configuration is in force on which nodes.
//
// # Usage
//
//	service := operator.New(operator.Config{Store: store, Holder: holder, ...})
//	http.Serve(listener, service.Handler())
package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/rollout"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
)

// Config configures a Service. The fields from Metrics on are optional.
type Config struct {
	Store           store.Store
	Holder          *revision.Holder
	View            func() *member.View
	FleetReport     func(context.Context) *wire.Report     // of the fleet, as far as this node knows it
	ConfirmedAt     func() int64                           // when the platform last confirmed the head, Unix ms
	PlatformAnswers func() bool                            // whether the platform answers
	Metrics         http.Handler                           // serves /metrics; may be nil
	Eras            *store.Eras                            // of the platform; nil if it has none
	ServerLimit     func() call.LimitState                 // of the backend server of this instance; nil if it can name none
	Rollouts        func(now time.Time) []rollout.Progress // of all services; nil if there are none

	// A configuration that comes as one document. Records are neither written nor read then.
	DecodeDocument  func(document []byte) (*wire.Snapshot, error) // nil if the configuration consists of records
	RefusedDocument func() *wire.RefusedDocument                  // the newest document, if it could not come into force
}

// Service implements the Operator service of a node.
type Service struct {
	config Config
}

// New returns a Service with the given configuration.
func New(config Config) *Service { return &Service{config: config} }

// errSingleDocument reports that records cannot be written because nothing would
// read them.
var errSingleDocument = errors.New("records cannot be written: the configuration comes from the platform as one document")

// checkWritable returns an error if records cannot be written.
func (s *Service) checkWritable() error {
	if s.config.DecodeDocument != nil {
		return connect.NewError(connect.CodeFailedPrecondition, errSingleDocument)
	}
	return nil
}
