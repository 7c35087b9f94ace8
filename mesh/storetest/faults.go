package storetest

// This file defines the switches for faults and connections that go silent.

import (
	"context"
	"net"
	"sync"
	"time"

	"caroblift.dev/mesh/store"
)

// Faults are the switches. The zero value is a healthy platform.
type Faults struct {
	Down   bool          `json:"down"`   // every call is refused
	Slow   time.Duration `json:"slow"`   // added to every call, ns
	Lose   bool          `json:"lose"`   // writes take effect and their answers are lost
	Drop   bool          `json:"drop"`   // writes are lost on the way and nobody hears of it
	Late   time.Duration `json:"late"`   // writes take effect later and their answers are lost, ns
	Twice  bool          `json:"twice"`  // writes arrive twice, and the second answer is returned
	Stale  bool          `json:"stale"`  // reads return the objects as of the moment the switch was set
	Silent bool          `json:"silent"` // watches hear nothing
	Each   bool          `json:"each"`   // watches tell of each change, also of those written over since
	Mixed  bool          `json:"mixed"`  // watches hear old events again and out of order
}

// Set replaces the switches.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.frozen = s.now.clone()
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget ends the history of changes, as the platform does when it is old:
// watches from before the present version are told to list again.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first, s.log = s.now.version, nil
}

// Conn is one client's connection to a store. It behaves as store.Client
// does: a call on a silent connection ends after the timeout, without an
// answer, and the calls after it use a new connection.
type Conn struct {
	Timeout time.Duration // of one call; a watch gets its wait on top

	store  *Store
	mu     sync.Mutex
	silent chan struct{} // closed while the connection is silent
}

// Conn returns a new connection.
func (s *Store) Conn(timeout time.Duration) *Conn {
	return &Conn{Timeout: timeout, store: s, silent: make(chan struct{})}
}

// Silence makes the connection silent: what is under way on it and what is
// sent on it gets no answer.
func (c *Conn) Silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.silent:
	default:
		close(c.silent)
	}
}

// line returns the state of the connection that a call goes out on.
func (c *Conn) line() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// mute waits while the connection is silent until its call ends, and tells
// whether it was silent.
func (c *Conn) mute(ctx context.Context) bool {
	select {
	case <-c.line():
		<-ctx.Done()
		return true
	default:
		return false
	}
}

// renew replaces a silent connection.
func (c *Conn) renew(old chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent == old {
		c.silent = make(chan struct{})
	}
}

// call runs a call of the store on a connection. A write that the store has
// already carried out is not undone when the connection falls silent.
func call[T any](ctx context.Context, c *Conn, timeout time.Duration, silent error, run func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	line := c.line()
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	var zero T
	select {
	case <-line: // the request does not arrive
	default:
		go func() {
			v, err := run(ctx)
			done <- result{v, err}
		}()
	}
	select {
	case r := <-done:
		select {
		case <-line: // the answer does not arrive
		default:
			if ctx.Err() != nil {
				return zero, silent
			}
			return r.value, r.err
		}
	case <-ctx.Done():
		c.renew(line)
		return zero, silent
	}
	<-ctx.Done()
	c.renew(line)
	return zero, silent
}

// Get implements store.Store.
func (c *Conn) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return call(ctx, c, c.Timeout, store.ErrDown, func(ctx context.Context) (store.Object, error) {
		return c.store.Get(ctx, kind, name)
	})
}

// listing is the answer to a list or a watch.
type listing struct {
	objs    []store.Object
	version uint64
	more    bool
}

// List implements store.Store.
func (c *Conn) List(ctx context.Context, kind, after string) ([]store.Object, uint64, bool, error) {
	l, err := call(ctx, c, c.Timeout, store.ErrDown, func(ctx context.Context) (l listing, err error) {
		l.objs, l.version, l.more, err = c.store.List(ctx, kind, after)
		return l, err
	})
	return l.objs, l.version, l.more, err
}

// Watch implements store.Store.
func (c *Conn) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]store.Object, uint64, error) {
	l, err := call(ctx, c, wait+c.Timeout, store.ErrDown, func(ctx context.Context) (l listing, err error) {
		l.objs, l.version, err = c.store.Watch(ctx, kind, version, wait)
		return l, err
	})
	return l.objs, l.version, err
}

// Create implements store.Store.
func (c *Conn) Create(ctx context.Context, kind, name string, body []byte) (store.Object, error) {
	return call(ctx, c, c.Timeout, store.ErrUnknown, func(ctx context.Context) (store.Object, error) {
		return c.store.Create(ctx, kind, name, body)
	})
}

// Update implements store.Store.
func (c *Conn) Update(ctx context.Context, kind, name string, version uint64, body []byte) (store.Object, error) {
	return call(ctx, c, c.Timeout, store.ErrUnknown, func(ctx context.Context) (store.Object, error) {
		return c.store.Update(ctx, kind, name, version, body)
	})
}

// Delete implements store.Store.
func (c *Conn) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := call(ctx, c, c.Timeout, store.ErrUnknown, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.store.Delete(ctx, kind, name, version)
	})
	return err
}

// connKey is the key of a connection in the context of its calls.
type connKey struct{}

// ConnContext gives each connection of an HTTP server a silence of its own.
func (s *Store) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	c := s.Conn(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return context.WithValue(ctx, connKey{}, c)
}

// Silence makes every connection that is open to the HTTP server silent.
// Connections that are opened later work.
func (s *Store) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Silence()
	}
	clear(s.conns)
}
