package node

// This file decides which duties towards the platform a node has, and which
// share of the platform's rates goes with them.

import (
	"caroblift.dev/mesh/platform"
	"caroblift.dev/mesh/spread"
)

// reader tells whether this node reads the platform now.
func (n *Node) reader() bool { return n.Members.Joined() && n.Spread.Reader() }

// publisher returns this node's rank among the candidates to publish.
func (n *Node) publisher() (int, bool) {
	if !n.Members.Joined() {
		return 0, false
	}
	return n.Spread.Publisher()
}

// unknownFleet is the size of a fleet that a node has not found yet.
const unknownFleet = 7000

// assembleBudget shares the platform's rates by what the node knows of others.
func (n *Node) assembleBudget() {
	readers := int(n.settings.GetPlatform().GetReaders())
	n.budget = platform.NewBudget(platform.BudgetConfig{
		Nodes: func() int {
			if n.Members.Alone() || !n.Members.Joined() {
				return unknownFleet
			}
			return len(n.Members.View().Names)
		},
		Duties: func() int {
			if n.Members.Alone() {
				return unknownFleet
			}
			return n.Members.View().Domains*readers + spread.Publishers
		},
		OnDuty: func() bool {
			_, publishes := n.publisher()
			return publishes || n.reader()
		},
	})
}
