package record

// This file defines the parts of a single-document configuration that have no
// counterpart in the operators' records.

import "time"

// CallerLimits bounds the requests of a caller. A zero field means no limit.
type CallerLimits struct {
	MaxHeaderBytes int64         // largest request header, in bytes
	MaxBodyBytes   int64         // largest request body, in bytes
	HeaderTimeout  time.Duration // time to read a request header
	IdleTimeout    time.Duration // time until an idle connection is closed
}

// WeightedService is one of the services among which a route splits its calls.
type WeightedService struct {
	Service string
	Weight  int // share of the calls, relative to the other parts
}
