package pace

// This file keeps what is known of each class of calls: how long the server usually takes,
// and how much time the route leaves.

import "time"

const (
	maxClasses = 64 // classes that are kept; when it is exceeded, all are forgotten

	// The usual duration follows shorter responses quickly and longer ones slowly, so that
	// it stays what the server needs when it is warm.
	shorterWeight = 0.2
	longerWeight  = 0.02
	// leftWeight is the weight of a shorter time to the objective. The longest one is that
	// of calls which came straight from their caller.
	leftWeight = 0.01
)

// class is what is known of a class of calls. Durations are zero when unknown.
type class struct {
	usual time.Duration // of a response
	left  time.Duration // to the objective, at the arrival of a call that was not delayed before
}

// classes holds the classes by name.
type classes struct{ byName map[string]*class }

func (s *classes) get(name string) *class {
	c := s.byName[name]
	if c == nil {
		if s.byName == nil || len(s.byName) >= maxClasses {
			s.byName = map[string]*class{}
		}
		c = &class{}
		s.byName[name] = c
	}
	return c
}

// observeLeft records the time to the objective of a call. Zero or less is ignored: the
// call has no objective, or came too late for it.
func (c *class) observeLeft(left time.Duration) {
	switch {
	case left <= 0:
	case left > c.left:
		c.left = left
	default:
		c.left += time.Duration(leftWeight * float64(left-c.left))
	}
}

// observeDuration records the duration of a response.
func (c *class) observeDuration(d time.Duration) {
	weight := longerWeight
	if d < c.usual {
		weight = shorterWeight
	}
	if c.usual == 0 {
		weight = 1
	}
	c.usual += time.Duration(weight * float64(d-c.usual))
}

// late reports whether a call that held its slot for some time is late by that alone,
// whatever it waited before.
func (c *class) late(held time.Duration) bool {
	if c.left > 0 {
		return held > c.left
	}
	return c.usual > 0 && held > max(overdueFactor*c.usual, minOverdue)
}

// slow reports whether a duration is well beyond what the server usually takes.
func (c *class) slow(held time.Duration) bool {
	return c.usual > 0 && float64(held) > slowFactor*float64(c.usual)
}
