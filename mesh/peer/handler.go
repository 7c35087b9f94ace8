package peer

// This file joins both halves of what a node serves to others.

// Handler serves the Peer service: the spread of revisions and membership.
type Handler struct {
	*Spread
	*Members
}
