package hop

// This file records the calls in progress, so that a stop can wait for them and
// name those that it cuts.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// Calls is the record of the calls in progress. Its methods may be called
// concurrently.
type Calls struct {
	mu      sync.Mutex
	head    Entry // ring of entries
	count   int
	drained chan struct{} // closed when the count is 0; nil unless draining
}

// Entry is one call in progress.
type Entry struct {
	id         string
	prev, next *Entry
}

// NewCalls returns an empty record.
func NewCalls() *Calls {
	c := &Calls{}
	c.head.prev, c.head.next = &c.head, &c.head
	return c
}

// Begin records a call until End.
func (c *Calls) Begin(id string) *Entry {
	e := &Entry{id: id, next: &c.head}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.prev = c.head.prev
	e.prev.next, c.head.prev = e, e
	c.count++
	return e
}

// End removes a call.
func (c *Calls) End(e *Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.prev.next, e.next.prev = e.next, e.prev
	c.count--
	if c.count == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// Count returns the number of calls in progress.
func (c *Calls) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// ids returns the IDs of the calls in progress, the oldest first.
func (c *Calls) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for e := c.head.next; e != &c.head; e = e.next {
		out = append(out, e.id)
	}
	return out
}

// wait returns a channel that is closed once no call is in progress.
func (c *Calls) wait() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained == nil {
		done := make(chan struct{})
		if c.count == 0 {
			close(done)
			return done
		}
		c.drained = done
	}
	return c.drained
}

// Drain waits until no call is in progress. When the context ends first, it
// returns a *Cut that names the calls left.
func (c *Calls) Drain(ctx context.Context) error {
	select {
	case <-c.wait():
		return nil
	case <-ctx.Done():
	}
	if ids := c.ids(); len(ids) > 0 {
		return &Cut{IDs: ids}
	}
	return nil
}

// Cut is the error of a stop that did not wait for every call.
type Cut struct {
	IDs []string // of the calls in progress, the oldest first
}

// maxCutIDs bounds the IDs in an error text.
const maxCutIDs = 20

// Error implements error.
func (c *Cut) Error() string {
	shown := c.IDs[:min(len(c.IDs), maxCutIDs)]
	text := fmt.Sprintf("%d calls in progress were cut: %s", len(c.IDs), strings.Join(shown, " "))
	if len(c.IDs) > len(shown) {
		text += " ..."
	}
	return text
}

// Namer makes call IDs that no other node makes.
type Namer struct {
	prefix string
	count  atomic.Uint64
}

// NewNamer returns a namer with a random prefix.
func NewNamer() *Namer {
	return &Namer{prefix: strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// Next returns a new ID.
func (n *Namer) Next() string {
	var buffer [32]byte
	return string(strconv.AppendUint(append(buffer[:0], n.prefix...), n.count.Add(1), 36))
}
