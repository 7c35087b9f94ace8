package call

// This file recognizes nested calls: those that backend servers make while they run
// other calls. It handles overload of a service that other services call. The work
// of the calls in progress there is lost when a nested call is refused, so nested
// calls go first, and the load is reduced by refusing calls that have not begun.

import "math"

// origins recognizes the classes of nested calls at a gate by where they enter the
// mesh. Callers send their calls to all instances, among them those of the called
// service, while calls of a server enter at its own instance. The zero value
// recognizes no class. A class without a single call that entered at an instance of
// the called service, over as many calls as make chance unlikely, is nested.
type origins struct {
	outside map[string]int // calls of each class since the last one that entered at an instance of the service
}

// nestedEvidence is the negative logarithm of the probability that a class of
// callers' calls is taken for a nested one at a given call: 1 in 3,000.
const nestedEvidence = 8

// observe records one call of a class and reports whether the class is nested.
// outside says that the call entered at an instance of another service, and
// ownShare is the share of instances that run the called service.
func (o *origins) observe(class string, outside bool, ownShare float64) bool {
	if class == "" {
		return false
	}
	if !outside {
		delete(o.outside, class)
		return false
	}
	if o.outside == nil || len(o.outside) > maxClasses {
		o.outside = map[string]int{}
	}
	o.outside[class]++
	if ownShare <= 0 || ownShare >= 1 {
		return false
	}
	return float64(o.outside[class]) > nestedEvidence/-math.Log1p(-ownShare)
}

// SetOwnShare sets the share of all instances that run the gate's service, by which
// nested calls are recognized. Zero means unknown: none is recognized.
func (a *Admission) SetOwnShare(share float64) { a.ownShare = share }

// Nested reports whether a backend server makes the call while it runs another. It is
// valid once the waiter has entered.
func (w *Waiter) Nested() bool { return w.nested }
