// Package record defines the configuration records that operators write:
// services, routes and backend server policies. It defines their schema
// versions and the hub form, a representation independent of the schema version
// that the rest of the system uses.
//
// A record is transmitted and stored as the operator's own JSON in a
// [wire.Record], so that fields unknown to this version are preserved. [Check]
// validates a record against the rules of its schema, [Decode] converts it to
// its hub form, and [Convert] converts it to another schema version. Errors are
// collected in [Findings], so that all of them are reported together.
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
	Name       string
	Policy     string // empty means the built-in defaults
	Owner      string
	Mail       string
	Domains    []string // failure domains whose backend servers may be used; empty means all
	HealthPath string   // path that a healthy backend server answers with status 200; empty when unknown
	MaxConns   int      // connections that a backend server accepts; zero when unknown
}

// Repeat specifies which calls of a route may run more than once, as retries or
// hedges do.
type Repeat int

// The values of Repeat.
const (
	RepeatByMethod Repeat = iota // calls with an idempotent HTTP method
	RepeatAlways
	RepeatNever
)

// Route is the hub form of a route record.
type Route struct {
	Name    string
	Hosts   []string          // empty means every host
	Prefix  string            // path prefix, starting with a slash
	Methods []string          // empty means every method
	Headers map[string]string // header values that a call must match exactly
	Service string
	Timeout time.Duration // zero means the node's default
	Repeat  Repeat
	Hedge   bool

	// Fields that only a single-document configuration sets.
	WeightedServices []WeightedService // services among which calls are split; empty means Service alone
	LatencyObjective time.Duration     // response time for full credit; zero when there is none
	Priority         int               // 0 is the most urgent
	MaxAttempts      int               // most backend servers that one call is sent to; zero means the policy's limit
	Bulk             bool              // responses are large
	Open             bool              // callers need no key even if the configuration has workspaces
	Unusable         bool              // the proportions of its services are not known: it has no service, and its calls are refused
}

// Workspace is a group of callers that share keys, a priority and a quota.
type Workspace struct {
	Name     string
	Priority *int    // takes precedence over the route's; nil if the workspace has none
	Rate     float64 // quota over all nodes, in calls a second; zero means no limit
	Burst    float64 // calls beyond the rate
}

// Policy is the hub form of a backend server policy record.
type Policy struct {
	Name         string
	Slots        int // concurrent calls to one backend server; zero means the announced number
	Queue        Queue
	Retry        Budget
	Hedge        Budget
	Warmup       time.Duration // slow start duration of a cold backend server
	DrainTimeout time.Duration // time limit of a graceful shutdown; zero means the node's
	Pace         Pace          // whether the concurrency of a server follows its responses
	Subset       int           // number of a service's backend servers that one node uses; zero means all
}

// Pace says whether the concurrency of a backend server that has started or recovered
// follows its responses.
type Pace string

// The values of Pace.
const (
	PaceByNode Pace = ""    // as the node's settings say
	PaceOn     Pace = "on"  // in place of slow start
	PaceOff    Pace = "off" // never
)

// Queue limits the calls that wait for a slot.
type Queue struct {
	MaxLength int
	MaxWait   time.Duration
}

// Budget limits the extra attempts, retries or hedges, of a service's calls.
type Budget struct {
	Percent     int           // extra attempts, as a share of calls
	MaxAttempts int           // attempts of one call, including the first
	Delay       time.Duration // delay before a hedge; zero means an estimate
}

// Hub is the decoded form of one record; exactly one field is set.
type Hub struct {
	Service *Service
	Route   *Route
	Policy  *Policy
}
