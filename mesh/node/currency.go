package node

// This file judges whether the table in force may be older than the newest version of
// the configuration, for calls whose key it does not have.

import (
	"time"

	"caroblift.dev/mesh/caller"
)

// maxConfirmedAge is the age of the last confirmation up to which the table in force
// counts as the newest one. A new version must be in force 2.5 s after its
// acknowledgement, so within this age no version that is in force can be missing.
const maxConfirmedAge = 2500 * time.Millisecond

// currency returns how current the table in force is. It may be outdated if a peer has a
// newer one, if the platform does not answer a node that reads it, or if neither the
// platform nor a peer has confirmed it of late.
func (n *Node) currency() caller.Currency {
	age, known := n.Distributor.ConfirmedAge()
	c := caller.Currency{Age: age}
	switch {
	case !known:
		c.Age, c.Behind = -time.Millisecond, "the table was never confirmed"
	case n.Distributor.Behind():
		c.Behind = "a peer has a newer table"
	case n.watchesPlatform() && !n.platformReader.Reachable():
		c.Behind = "the platform does not answer"
	case age > maxConfirmedAge:
		c.Behind = "the table was not confirmed of late"
	}
	return c
}
