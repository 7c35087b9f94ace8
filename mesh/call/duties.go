package call

// This file queues what a node has to do on the platform for condemned requests: only the
// platform survives the end of all nodes, and only there can one node claim a trial for all.

import "sync"

// Duty says what a node has to do for a condemned request.
type Duty int

// The values of Duty.
const (
	KeepCondemned Duty = iota // a call of this node condemned it: keep it for nodes that start later
	ClaimTrial                // a trial is due: claim it for all nodes
	DropAnswered              // it was answered: nothing is to be kept of it
)

// String returns the name of the duty in log lines.
func (d Duty) String() string {
	return [...]string{"keep", "claim", "drop"}[d]
}

// RequestDuty is a Duty for a request.
type RequestDuty struct {
	Duty    Duty
	Request Fingerprint
}

// maxDuties bounds the duties that wait, 20 bytes each. Each takes an end of a server, or
// a refusal that comes again.
const maxDuties = 64

// duties is a bounded queue without duplicates.
type duties struct {
	ready chan struct{}

	mu      sync.Mutex
	waiting []RequestDuty
}

func (d *duties) add(duty Duty, f Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added := RequestDuty{Duty: duty, Request: f}
	for _, w := range d.waiting {
		if w == added {
			return
		}
	}
	if len(d.waiting) < maxDuties {
		d.waiting = append(d.waiting, added)
		signal(d.ready)
	}
}

// DutiesReady returns a channel that receives when there are duties to take.
func (s *Suspects) DutiesReady() <-chan struct{} { return s.duties.ready }

// TakeDuties returns the duties since they were last taken.
func (s *Suspects) TakeDuties() []RequestDuty {
	s.duties.mu.Lock()
	defer s.duties.mu.Unlock()
	out := s.duties.waiting
	s.duties.waiting = nil
	return out
}
