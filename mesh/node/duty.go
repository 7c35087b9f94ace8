package node

// This file decides which duties towards the platform a node has, and which
// share of the platform's rates goes with them.

import (
	"caroblift.dev/mesh/spread"
	"caroblift.dev/mesh/store"
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

// assembleBudget shares the platform's rates by what the node knows of others.
func (n *Node) assembleBudget() {
	readers := int(n.settings.GetPlatform().GetReaders())
	n.budget = store.NewBudget(store.BudgetConfig{
		Nodes: n.Members.Size, Known: n.Members.Joined,
		Duties: func() int {
			v := n.Members.View()
			duties := v.Domains*readers + spread.Publishers
			if size := n.Members.Size(); size > len(v.Names) {
				return max(duties, size) // too little is known
			}
			return duties
		},
		OnDuty: func() bool {
			_, publishes := n.publisher()
			return publishes || n.reader()
		},
	})
}
