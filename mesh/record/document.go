package record

// This file defines what a configuration that comes as one document holds
// beyond the records of operators.

import "time"

// Limits bound what a caller may send. A zero field bounds nothing.
type Limits struct {
	Header int64         // bytes of a request's header
	Body   int64         // bytes of a request's body
	Begin  time.Duration // until the header must be read
	Idle   time.Duration // for which an unused connection is kept
}

// Part is one service of a route that is split, and its share of the calls.
type Part struct {
	Service string
	Weight  int
}
