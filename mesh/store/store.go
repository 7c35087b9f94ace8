// Package store is a client of the platform's object API, which offers versioned
// objects, conditional updates and watches over HTTP and JSON. On top of it the
// package implements the readers and the publisher of the configuration.
//
// The expected API:
//
//	GET    /objects/KIND/NAME             object; ETag is its version
//	PUT    /objects/KIND/NAME             with If-Match or If-None-Match: *
//	DELETE /objects/KIND/NAME             with If-Match
//	GET    /objects/KIND?after=NAME       a page of objects
//	GET    /objects/KIND?watch=V&wait=MS  objects changed since version V
//
// # Usage
//
//	store := store.New(store.ClientConfig{Addresses: []string{"127.0.0.1:7000"}})
//	obj, err := store.Create(ctx, "revision", "00000001", body)
//	if errors.Is(err, store.ErrOutcomeUnknown) {
//		// The write may have taken effect: read back before writing again.
//	}
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a store, to be tested with errors.Is.
var (
	ErrNotFound       = errors.New("object does not exist")
	ErrConflict       = errors.New("object version does not match")
	ErrOutcomeUnknown = errors.New("no response, the write may have taken effect")
	ErrUnavailable    = errors.New("platform is unavailable")
	ErrGone           = errors.New("platform does not have the history since the watch version")
)

// RateLimitError reports that the platform's rate limit or the node's budget is
// exhausted.
type RateLimitError struct {
	RetryAfter time.Duration // least delay before the next call
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return "platform rate limit exceeded, retry after " + e.RetryAfter.String()
}

// Object is one versioned object.
type Object struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
	Body    []byte  `json:"body,omitempty"`
	Status  []byte  `json:"status,omitempty"` // what the system reports of the object; empty if nothing
}

// Store is the platform's object API. Every method makes one call, which counts
// against the platform's rates.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns one page of the objects of a kind after a name, in name
	// order; more reports whether another page follows. The version is the
	// platform's at the time of the read, from which a watch can start.
	List(ctx context.Context, kind, after string) (objs []Object, version Version, more bool, err error)
	// Create writes an object, or returns ErrConflict if it exists.
	Create(ctx context.Context, kind, name string, body []byte) (Object, error)
	// Update replaces an object that has the given version, or returns
	// ErrConflict if it has another. Every version of an earlier era is another.
	Update(ctx context.Context, kind, name string, version Version, body []byte) (Object, error)
	// Delete removes an object that has the given version, or returns
	// ErrConflict if it has another.
	Delete(ctx context.Context, kind, name string, version Version) error
	// Watch waits until an object of the kind is newer than the version and
	// returns the changed objects, or none when the wait is over, and the version
	// for the next watch, which is of the same era. ErrGone means that the platform
	// does not have the history since the version, because the version is too old
	// or of an earlier era, and that the caller has to list again.
	Watch(ctx context.Context, kind string, version Version, wait time.Duration) (objs []Object, next Version, err error)
}

// StatusWriter is implemented by stores whose objects have a status beside their body.
type StatusWriter interface {
	// WriteStatus replaces the status of an object that has the given version, or returns
	// ErrConflict if it has another. The object gets a new version.
	WriteStatus(ctx context.Context, kind, name string, version Version, status []byte) (Object, error)
}
