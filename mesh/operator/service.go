// Package operator speaks to operators: it writes and reads records on their
// behalf and tells what is in force, and where.
//
// # Usage
//
//	service := operator.New(operator.Config{Store: store, Holder: holder, ...})
//	http.Serve(listener, service.Handler())
package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
)

// Config configures a Service. Every field but Metrics is required.
type Config struct {
	Store   store.Store
	Holder  *revision.Holder
	View    func() *member.View
	Report  func(context.Context) *wire.Report // of the whole fleet as far as known
	Checked func() int64                       // when the head was last confirmed, Unix ms
	Working func() bool                        // whether the platform answers
	Metrics http.Handler                       // serves /metrics; may be nil
	Whole   bool                               // the configuration comes as one document, so records are neither written nor read
}

// Service implements the Operator service of a node.
type Service struct {
	config Config
}

// New returns a service.
func New(config Config) *Service { return &Service{config: config} }

// errWhole says that records have no effect here.
var errWhole = errors.New("the configuration comes from the platform as one document; records are not written here")

// writable returns an error where records cannot be written.
func (s *Service) writable() error {
	if s.config.Whole {
		return connect.NewError(connect.CodeFailedPrecondition, errWhole)
	}
	return nil
}
