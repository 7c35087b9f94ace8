package node

// This file decides whether the node reads the platform or publishes to it, and
// which share of the platform's call rates it may use.

import (
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/store"
	"caroblift.dev/wire"
)

// isReader reports whether this node reads the platform now.
func (n *Node) isReader() bool { return n.Members.Joined() && n.Distributor.ReadsPlatform() }

// publisherRank returns this node's rank among the candidates to publish, or
// false if it is not a candidate.
func (n *Node) publisherRank() (int, bool) {
	if !n.Members.Joined() {
		return 0, false
	}
	return n.Distributor.PublisherIndex()
}

// assembleBudget creates the budget that divides the platform's call rates among
// the nodes, as far as this node knows them.
func (n *Node) assembleBudget() {
	readers := int(n.settings.GetPlatform().GetReaders())
	n.budget = store.NewBudget(store.BudgetConfig{
		Nodes: n.Members.EstimatedSize, FleetKnown: n.Members.Joined,
		ActiveNodes: func() int {
			v := n.Members.View()
			activeNodes := v.Domains*readers + spread.PublisherCount
			if size := n.Members.EstimatedSize(); size > len(v.Names) {
				return max(activeNodes, size) // the node does not know all members yet: assume that all read or publish
			}
			return activeNodes
		},
		Active: func() bool {
			_, isPublisher := n.publisherRank()
			return isPublisher || n.isReader()
		},
	})
}

// isFirstAlive reports whether this node is the first live one of the fleet, in name order.
func (n *Node) isFirstAlive() bool {
	view := n.Members.View()
	for _, name := range view.Names {
		if view.Members[name].GetState() == wire.State_STATE_ALIVE {
			return n.Members.Joined() && name == view.Self.GetName()
		}
	}
	return false
}
