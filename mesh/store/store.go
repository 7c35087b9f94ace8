// Package store speaks to the platform's object API: versioned objects,
// conditional updates and watches over HTTP and JSON.
//
// The API that it expects:
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
//	if errors.Is(err, store.ErrUnknown) {
//		// The answer was lost: read back before writing again.
//	}
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a store. Test for them with errors.Is.
var (
	ErrNotFound = errors.New("object does not exist")
	ErrConflict = errors.New("object has another version")
	ErrUnknown  = errors.New("answer lost, the write may have taken effect")
	ErrDown     = errors.New("platform does not answer")
	ErrGone     = errors.New("watch version is too old")
)

// BusyError says that the platform's rate is used up.
type BusyError struct {
	After time.Duration // when to come back
}

func (e *BusyError) Error() string {
	return "platform rate exceeded, retry after " + e.After.String()
}

// Object is one versioned object.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"` // grows over all objects of the platform
	Deleted bool   `json:"deleted,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// Store is the platform's object API. Every method is one counted call.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind after a name, in name order, at most
	// a page; more tells whether another page follows. The version is the
	// platform's at the time of reading and can be watched from.
	List(ctx context.Context, kind, after string) (objs []Object, version uint64, more bool, err error)
	// Create writes an object that must not exist, or returns ErrConflict.
	Create(ctx context.Context, kind, name string, body []byte) (Object, error)
	// Update writes an object that must have the version given, or returns
	// ErrConflict.
	Update(ctx context.Context, kind, name string, version uint64, body []byte) (Object, error)
	// Delete removes an object that must have the version given.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch waits until an object of the kind is newer than the version and
	// returns what changed, or nothing when the wait is over. ErrGone asks the
	// caller to list again.
	Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (objs []Object, next uint64, err error)
}
