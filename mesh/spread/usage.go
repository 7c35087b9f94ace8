package spread

// This file carries the calls of workspaces up the tree, and their totals down.

import (
	"time"

	"caroblift.dev/wire"
)

// Usage adds up the calls of a subtree and holds the totals of the fleet. Messages that
// carry no usage have nil.
type Usage interface {
	// Subtree returns the calls of the node and its children's subtrees.
	Subtree(now time.Time) *wire.Usage
	// HandleChild records the calls of a child's subtree and returns the totals for it.
	HandleChild(name string, usage *wire.Usage, now time.Time) *wire.Usage
	// DropChild removes a child that has left or is no longer heard from.
	DropChild(name string, now time.Time)
	// HandleTotals records the totals that the parent sent.
	HandleTotals(totals *wire.Usage, now time.Time)
	// Tick performs the periodic work; members is the number of live members known.
	Tick(now time.Time, root bool, members int)
}

// noUsage is the Usage of a node that counts no calls.
type noUsage struct{}

// Subtree implements Usage.
func (noUsage) Subtree(time.Time) *wire.Usage { return nil }

// HandleChild implements Usage.
func (noUsage) HandleChild(string, *wire.Usage, time.Time) *wire.Usage { return nil }

// DropChild implements Usage.
func (noUsage) DropChild(string, time.Time) {}

// HandleTotals implements Usage.
func (noUsage) HandleTotals(*wire.Usage, time.Time) {}

// Tick implements Usage.
func (noUsage) Tick(time.Time, bool, int) {}

// tickUsage performs the periodic work on the usage.
func (s *State) tickUsage(now time.Time) {
	alive := 0
	for _, name := range s.placement.View.Names {
		if st := s.placement.View.Members[name].GetState(); st != wire.State_STATE_DEAD && st != wire.State_STATE_LEAVING {
			alive++
		}
	}
	s.config.Usage.Tick(now, s.parent.name == "", alive)
}

// dropChild removes a child.
func (s *State) dropChild(name string, now time.Time) {
	delete(s.children, name)
	s.config.Usage.DropChild(name, now)
}
