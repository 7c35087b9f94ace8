package record

// This file defines the parts of a single-document configuration that have no
// counterpart in the operators' records.

import "time"

// Limits bounds the requests of a caller. A zero field means no limit.
type Limits struct {
	Header int64         // largest request header, in bytes
	Body   int64         // largest request body, in bytes
	Begin  time.Duration // time to read a request header
	Idle   time.Duration // time until an idle connection is closed
}

// Part is one of the services among which a route splits its calls.
type Part struct {
	Service string
	Weight  int // share of the calls, relative to the other parts
}
