package hop

// This file tracks the calls in progress, so that a shutdown can wait for them
// and report those that it aborts.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// CallRegistry is a registry of the calls in progress. Its methods may be
// called concurrently.
type CallRegistry struct {
	mu      sync.Mutex
	head    CallEntry // sentinel of a circular list, the oldest entry first
	count   int
	drained chan struct{} // closed when count drops to 0; nil if nobody waits for it
}

// CallEntry is one call in progress.
type CallEntry struct {
	id         string
	cut        func() // ends the call; nil if it can't be ended
	prev, next *CallEntry
}

// NewCallRegistry returns an empty registry.
func NewCallRegistry() *CallRegistry {
	c := &CallRegistry{}
	c.head.prev, c.head.next = &c.head, &c.head
	return c
}

// Begin adds a call with an ID. The entry must be passed to End once.
func (c *CallRegistry) Begin(id string) *CallEntry {
	e := &CallEntry{id: id, next: &c.head}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.prev = c.head.prev
	e.prev.next, c.head.prev = e, e
	c.count++
	return e
}

// End removes a call.
func (c *CallRegistry) End(e *CallEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.prev.next, e.next.prev = e.next, e.prev
	c.count--
	if c.count == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// OnCut sets the function by which Cut ends a call in progress. It must not block.
func (c *CallRegistry) OnCut(e *CallEntry, cut func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.cut = cut
}

// Cut ends the calls in progress that have a function for it. It does not wait for them.
func (c *CallRegistry) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.head.next; e != &c.head; e = e.next {
		if e.cut != nil {
			e.cut()
		}
	}
}

// Count returns the number of calls in progress.
func (c *CallRegistry) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// ids returns the IDs of the calls in progress, the oldest first.
func (c *CallRegistry) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for e := c.head.next; e != &c.head; e = e.next {
		out = append(out, e.id)
	}
	return out
}

// drainedSignal returns a channel that is closed when no call is in progress.
func (c *CallRegistry) drainedSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained == nil {
		drained := make(chan struct{})
		if c.count == 0 {
			close(drained)
			return drained
		}
		c.drained = drained
	}
	return c.drained
}

// Drain waits until no call is in progress. If the context ends first, it returns
// an error with the IDs of the remaining calls.
func (c *CallRegistry) Drain(ctx context.Context) error {
	select {
	case <-c.drainedSignal():
		return nil
	case <-ctx.Done():
	}
	if ids := c.ids(); len(ids) > 0 {
		return &DrainError{IDs: ids}
	}
	return nil
}

// DrainError is the error that Drain returns if the context ends before all
// calls do.
type DrainError struct {
	IDs []string // IDs of the remaining calls, the oldest first
}

// maxErrorIDs is the maximum number of IDs in an error text.
const maxErrorIDs = 20

// Error implements error.
func (c *DrainError) Error() string {
	shown := c.IDs[:min(len(c.IDs), maxErrorIDs)]
	text := fmt.Sprintf("%d calls in progress were cut: %s", len(c.IDs), strings.Join(shown, " "))
	if len(c.IDs) > len(shown) {
		text += " ..."
	}
	return text
}

// IDGenerator generates call IDs that are unique across nodes. Its methods may
// be called concurrently.
type IDGenerator struct {
	prefix string
	count  atomic.Uint64
}

// NewIDGenerator returns a generator whose IDs share a random 64-bit prefix.
func NewIDGenerator() *IDGenerator {
	return &IDGenerator{prefix: strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// Next returns a new ID.
func (g *IDGenerator) Next() string {
	var buffer [32]byte
	return string(strconv.AppendUint(append(buffer[:0], g.prefix...), g.count.Add(1), 36))
}
