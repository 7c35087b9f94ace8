package storetest

// This file implements fault injection and connections that stop responding.

import (
	"context"
	"net"
	"sync"
	"time"

	"caroblift.dev/mesh/store"
)

// Faults selects the faults to inject. The zero value is a healthy platform.
type Faults struct {
	Down            bool          `json:"down"`   // every call fails with ErrUnavailable
	Latency         time.Duration `json:"slow"`   // delay added to every call, ns
	LoseResponses   bool          `json:"lose"`   // writes take effect, their responses are lost
	DropWrites      bool          `json:"drop"`   // writes have no effect, their responses are lost
	DelayWrites     time.Duration `json:"late"`   // delay of writes, whose responses are lost, ns
	DuplicateWrites bool          `json:"twice"`  // writes arrive twice, the second response is returned
	StaleReads      bool          `json:"stale"`  // reads return the state when the fault was set
	SilentWatches   bool          `json:"silent"` // watches return no events
	AllChanges      bool          `json:"each"`   // watches return every change, also those overwritten since
	ReorderEvents   bool          `json:"mixed"`  // watches return old events again and out of order
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.stale = s.current.clone()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history of changes, as the platform does with old
// changes: watches from an earlier version than the present one fail with
// ErrGone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.history = s.current.revision, nil
}

// Conn is one client's connection to a store. Like store.Client, it ends a call on
// a silent connection after the timeout and uses a new connection for the next
// one.
type Conn struct {
	Timeout time.Duration // of one call; a watch may take its wait longer

	store  *Store
	mu     sync.Mutex
	silent chan struct{} // closed when the connection is silent
}

// Conn returns a new connection with a timeout for its calls.
func (s *Store) Conn(timeout time.Duration) *Conn {
	return &Conn{Timeout: timeout, store: s, silent: make(chan struct{})}
}

// Silence makes the connection silent: calls that are in flight or sent later get
// no response.
func (c *Conn) Silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.silent:
	default:
		close(c.silent)
	}
}

// silenced returns the channel that is closed when the present connection is
// silent.
func (c *Conn) silenced() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// blockIfSilent reports whether the connection is silent. If it is, it first waits
// until the context of the call ends.
func (c *Conn) blockIfSilent(ctx context.Context) bool {
	select {
	case <-c.silenced():
		<-ctx.Done()
		return true
	default:
		return false
	}
}

// reconnect replaces a connection unless that has been done already.
func (c *Conn) reconnect(old chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent == old {
		c.silent = make(chan struct{})
	}
}

// call runs a call of the store on a connection. If the connection is silent or the
// call is too slow, it returns errNoResponse when the timeout expires. A write that
// the store has already carried out is not undone.
func call[T any](ctx context.Context, c *Conn, timeout time.Duration, errNoResponse error, run func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	silenced := c.silenced()
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	var zero T
	select {
	case <-silenced: // the request is lost
	default:
		go func() {
			v, err := run(ctx)
			done <- result{v, err}
		}()
	}
	select {
	case r := <-done:
		select {
		case <-silenced: // the response is lost
		default:
			if ctx.Err() != nil {
				return zero, errNoResponse
			}
			return r.value, r.err
		}
	case <-ctx.Done():
		c.reconnect(silenced)
		return zero, errNoResponse
	}
	<-ctx.Done()
	c.reconnect(silenced)
	return zero, errNoResponse
}

// Get implements store.Store.
func (c *Conn) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return call(ctx, c, c.Timeout, store.ErrUnavailable, func(ctx context.Context) (store.Object, error) {
		return c.store.Get(ctx, kind, name)
	})
}

// listing is the result of a list or a watch.
type listing struct {
	objs    []store.Object
	version store.Version
	more    bool
}

// List implements store.Store.
func (c *Conn) List(ctx context.Context, kind, after string) ([]store.Object, store.Version, bool, error) {
	l, err := call(ctx, c, c.Timeout, store.ErrUnavailable, func(ctx context.Context) (l listing, err error) {
		l.objs, l.version, l.more, err = c.store.List(ctx, kind, after)
		return l, err
	})
	return l.objs, l.version, l.more, err
}

// Watch implements store.Store.
func (c *Conn) Watch(ctx context.Context, kind string, version store.Version, wait time.Duration) ([]store.Object, store.Version, error) {
	l, err := call(ctx, c, wait+c.Timeout, store.ErrUnavailable, func(ctx context.Context) (l listing, err error) {
		l.objs, l.version, err = c.store.Watch(ctx, kind, version, wait)
		return l, err
	})
	return l.objs, l.version, err
}

// Create implements store.Store.
func (c *Conn) Create(ctx context.Context, kind, name string, body []byte) (store.Object, error) {
	return call(ctx, c, c.Timeout, store.ErrOutcomeUnknown, func(ctx context.Context) (store.Object, error) {
		return c.store.Create(ctx, kind, name, body)
	})
}

// Update implements store.Store.
func (c *Conn) Update(ctx context.Context, kind, name string, version store.Version, body []byte) (store.Object, error) {
	return call(ctx, c, c.Timeout, store.ErrOutcomeUnknown, func(ctx context.Context) (store.Object, error) {
		return c.store.Update(ctx, kind, name, version, body)
	})
}

// Delete implements store.Store.
func (c *Conn) Delete(ctx context.Context, kind, name string, version store.Version) error {
	_, err := call(ctx, c, c.Timeout, store.ErrOutcomeUnknown, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.store.Delete(ctx, kind, name, version)
	})
	return err
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// ConnContext is meant for http.Server. It registers each connection of the server,
// so that SilenceConnections can make it silent.
func (s *Store) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	c := s.Conn(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return context.WithValue(ctx, connKey{}, c)
}

// SilenceConnections makes all present connections to the HTTP server silent.
// Connections that are opened later work.
func (s *Store) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Silence()
	}
	clear(s.conns)
}
