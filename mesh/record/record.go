// Package record defines what operators write: services, routes and backend
// server policies, their schema versions, and the hub form that the rest of
// the system works with.
//
// A record travels as the operator's own JSON in a [wire.Record], so fields
// that this version does not know survive. [Check] holds it against the rules of
// its schema, [Decode] converts it to its hub form, and [Convert] to another
// schema version. Every mistake is collected in [Findings].
//
// # Usage
//
//	if findings, _ := record.Check(rec); len(findings) > 0 {
//		return findings
//	}
//	hub, _ := record.Decode(rec)
//	fmt.Println(hub.Route.Service)
package record

import "time"

// Service is the hub form of a service record.
type Service struct {
	Name    string
	Policy  string // empty means the built-in defaults
	Owner   string
	Mail    string
	Domains []string // failure domains that may serve it; empty means all
	Health  string   // path on which a backend server answers 200 while it is well; empty when none is known
	Conns   int      // connections that a backend server accepts; zero when not known
}

// Repeat says which calls of a route may run more than once.
type Repeat int

// The values of Repeat.
const (
	RepeatByMethod Repeat = iota // idempotent methods only
	RepeatAlways
	RepeatNever
)

// Route is the hub form of a route record.
type Route struct {
	Name    string
	Hosts   []string          // empty means every host
	Prefix  string            // path prefix, starting with a slash
	Methods []string          // empty means every method
	Headers map[string]string // exact values that a call must carry
	Service string
	Timeout time.Duration // zero means the node's default
	Repeat  Repeat
	Hedge   bool

	// What only a configuration that comes as one document sets.
	Parts     []Part        // services of a route that is split; empty means Service alone
	Objective time.Duration // within which an answer earns its full credit; zero when none is named
	Priority  int           // 0 is the most urgent
	Attempts  int           // backend servers that one call may be sent to; zero leaves it to the policy
	Bulk      bool          // answers are large
}

// Policy is the hub form of a backend server policy record.
type Policy struct {
	Name   string
	Slots  int // calls in progress at one backend server; zero means as announced
	Queue  Queue
	Retry  Budget
	Hedge  Budget
	Warmup time.Duration // slow start of a cold backend server
	Drain  time.Duration // bound of a graceful shutdown; zero means the node's
	Subset int           // backend servers of a service that one node uses; zero means all
}

// Queue bounds the calls that wait for a slot.
type Queue struct {
	Length int
	Wait   time.Duration
}

// Budget bounds the extra attempts of a service's calls.
type Budget struct {
	Percent  int // share of calls
	Attempts int // attempts for one call, the first included
	After    time.Duration
}

// Hub is the decoded form of one record; exactly one field is set.
type Hub struct {
	Service *Service
	Route   *Route
	Policy  *Policy
}
