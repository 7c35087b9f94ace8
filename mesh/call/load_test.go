package call_test

// This file plays loads above the capacity of a service, on a clock of its own,
// and checks what callers get.

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// event is what happens at a time.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// load plays calls against backend servers with gates of their own.
type load struct {
	now    time.Duration
	events events
	rand   *rand.Rand
	gates  []*gate
	choice *call.Choice
	stats  map[string]*stats
}

// stats is what the callers of a class got.
type stats struct{ asked, inTime, late, refused, heldRefused int }

// gate is a backend server behind its admission.
type gate struct {
	admission call.Admission
	slots     int
	speed     float64 // times the usual duration
	instance  *call.Instance
	waiting   map[*call.Waiter]func()
}

// class is a kind of calls.
type class struct {
	name      string
	priority  int
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
}

func newLoad(slots int, speeds ...float64) *load {
	l := &load{rand: rand.New(rand.NewPCG(7, 9)), stats: map[string]*stats{}, choice: &call.Choice{}}
	for i, speed := range speeds {
		g := &gate{slots: slots, speed: speed, instance: call.NewInstance(string(rune('a'+i)), slots), waiting: map[*call.Waiter]func(){}}
		g.admission.Limit(call.Limits{Slots: slots, Warmup: -1}, l.time())
		l.gates = append(l.gates, g)
		l.choice.Near = append(l.choice.Near, g.instance)
	}
	return l
}

func (l *load) time() time.Time { return time.Unix(1000, 0).Add(l.now) }

func (l *load) after(d time.Duration, run func()) { heap.Push(&l.events, event{l.now + d, run}) }

func (l *load) play(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

// offer sends calls of a class at a rate for a while.
func (l *load) offer(c class, perSecond float64, from, until time.Duration) {
	if l.stats[c.name] == nil {
		l.stats[c.name] = &stats{}
	}
	var next func()
	next = func() {
		if l.now >= until {
			return
		}
		l.call(c)
		l.after(time.Duration(l.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	l.after(from, next)
}

// call places one call as an entry node does: a free slot first, then a queue.
func (l *load) call(c class) {
	s, start := l.stats[c.name], l.now
	s.asked++
	var tried []*call.Instance
	for look := 0; ; look++ {
		wait := look == 3 || len(tried) == len(l.gates)
		if wait {
			tried = nil
		}
		i, _ := l.choice.Place(false, c.objective, tried, l.time(), l.rand.IntN)
		g := l.gates[i.Name[0]-'a']
		w := &call.Waiter{Deadline: l.time().Add(c.deadline), Ready: make(chan struct{})}
		w.Demand = call.Demand{Class: c.name, Priority: c.priority, Objective: l.time().Add(c.objective), Now: !wait}
		verdict := g.admission.Enter(w, l.time())
		i.Carry(g.admission.Report(l.time()), l.time())
		switch verdict {
		case call.Admitted:
			l.run(g, w, c, start)
			return
		case call.Waiting:
			g.waiting[w] = func() { l.decided(g, w, c, start) }
			l.after(w.Until().Sub(l.time()), func() {
				if g.waiting[w] != nil {
					g.admission.Abandon(w, l.time())
					l.wake(g, []*call.Waiter{w})
				}
			})
			return
		}
		if wait {
			s.refused++
			return
		}
		tried = append(tried, i)
	}
}

func (l *load) wake(g *gate, decided []*call.Waiter) {
	for _, w := range decided {
		run := g.waiting[w]
		delete(g.waiting, w)
		run()
	}
}

func (l *load) decided(g *gate, w *call.Waiter, c class, start time.Duration) {
	if w.Verdict() == call.Admitted {
		l.run(g, w, c, start)
		return
	}
	l.stats[c.name].refused++
	if l.now-start > c.objective {
		l.stats[c.name].heldRefused++
	}
}

// run holds a slot for a duration that is spread as those of real calls are.
func (l *load) run(g *gate, w *call.Waiter, c class, start time.Duration) {
	took := time.Duration(float64(c.work) * g.speed * math.Exp(0.5*l.rand.NormFloat64()-0.125))
	l.after(took, func() {
		s := l.stats[c.name]
		if l.now-start <= c.objective {
			s.inTime++
		} else {
			s.late++
		}
		decided := g.admission.Finish(w, call.Good, l.time())
		g.instance.Carry(g.admission.Report(l.time()), l.time())
		l.wake(g, decided)
	})
}

// The classes of the loads: a lookup, and a booking that is more urgent.
var (
	lookup  = class{"lookup", 2, 90 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond}
	booking = class{"booking", 1, 120 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond}
)

// TestBurst offers twice the capacity for five seconds. What servers can do is
// done in time, the rest is refused at once, and the more urgent calls are
// served at least as well.
func TestBurst(t *testing.T) {
	l := newLoad(9, 0.7, 1, 1.4)
	capacity := 9 / 0.1 * (1/0.7 + 1 + 1/1.4) // calls a second of 100 ms on average
	l.offer(lookup, 2*capacity*2/3, 0, 5*time.Second)
	l.offer(booking, 2*capacity/3, 0, 5*time.Second)
	l.play(10 * time.Second)
	look, book := l.stats["lookup"], l.stats["booking"]
	inTime := float64(look.inTime + book.inTime)
	require.Greater(t, inTime, 0.8*5*capacity, "in time, of what the servers could do: %+v %+v", look, book)
	require.Less(t, look.late+book.late, (look.inTime+book.inTime)/5)
	require.Less(t, look.heldRefused+book.heldRefused, (look.asked+book.asked)/20, "refused after more than the objective")
	require.GreaterOrEqual(t, float64(book.inTime)/float64(book.asked), float64(look.inTime)/float64(look.asked))
	require.Greater(t, look.inTime, look.asked/10, "the less urgent are not starved")
}

// TestSlowServer makes one of three servers ten times slower at a load that the
// other two can bear.
func TestSlowServer(t *testing.T) {
	l := newLoad(9, 1, 1, 10)
	l.offer(lookup, 120, 0, 10*time.Second)
	l.play(15 * time.Second)
	s := l.stats["lookup"]
	require.Greater(t, s.inTime, s.asked*93/100, "%+v", s)
	require.Zero(t, s.refused)
}

// TestBelowCapacity refuses nothing and keeps the objective at four fifths of
// the capacity.
func TestBelowCapacity(t *testing.T) {
	l := newLoad(9, 0.7, 1, 1.4)
	l.offer(lookup, 0.8*9/0.09*(1/0.7+1+1/1.4), 0, 10*time.Second)
	l.play(15 * time.Second)
	s := l.stats["lookup"]
	require.Less(t, s.refused, s.asked/100, "%+v", s)
	require.Greater(t, s.inTime, s.asked*95/100, "%+v", s)
}

// TestFailingServer keeps calls away from a server that fails, and tries it
// again once it has been left alone.
func TestFailingServer(t *testing.T) {
	now := time.Unix(1000, 0)
	good, bad := call.NewInstance("good", 9), call.NewInstance("bad", 9)
	choice := &call.Choice{Near: []*call.Instance{good, bad}}
	random := rand.New(rand.NewPCG(1, 2))
	share := func(at time.Time) int {
		n := 0
		for range 1000 {
			if i, _ := choice.Place(false, time.Second, nil, at, random.IntN); i == bad {
				n++
			}
		}
		return n
	}
	good.Carry(call.Report{Slots: 9, Work: 100 * time.Millisecond}, now)
	bad.Carry(call.Report{Slots: 9, Work: 100 * time.Millisecond, Failing: 0.5}, now)
	require.Zero(t, share(now))
	require.Positive(t, share(now.Add(2*time.Minute)))
}

// TestFar keeps calls in the own failure domain while it is not the busier one;
// large answers stay longer.
func TestFar(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct {
		progress int
		bulk     bool
		near     bool
	}{
		"idle":            {0, false, true},
		"half":            {4, false, true},
		"long queue":      {18, false, false},
		"bulk, queue":     {12, true, true},
		"bulk, very long": {40, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := call.NewInstance("near", 9), call.NewInstance("far", 9)
			near.Carry(call.Report{Progress: c.progress, Slots: 9, Work: 100 * time.Millisecond}, now)
			far.Carry(call.Report{Slots: 9, Work: 100 * time.Millisecond}, now)
			choice := &call.Choice{Near: []*call.Instance{near}, Far: []*call.Instance{far}}
			i, _ := choice.Place(c.bulk, 300*time.Millisecond, nil, now, random.IntN)
			require.Equal(t, c.near, i == near)
		})
	}
}

// TestDemandTravels reads back what a demand was formatted as, and takes no
// harm from anything else.
func TestDemandTravels(t *testing.T) {
	now := time.Unix(1000, 0)
	d := call.Demand{Class: "a/b", Priority: 2, Objective: now.Add(-30 * time.Millisecond), Now: true}
	require.Equal(t, d, call.ParseDemand(d.Format(now), now))
	for _, text := range []string{"", "1", "a/b/c/d", "1/x/now/r", "1/2/3"} {
		require.Equal(t, call.Demand{}, call.ParseDemand(text, now), text)
	}
}

// TestBudgetOfTheFleet lets every node of a fleet make as many extra attempts as
// its budget allows, under calls that come in waves: in no window are there more
// than the share of the calls in it and the slack of all nodes.
func TestBudgetOfTheFleet(t *testing.T) {
	const (
		percent = 20
		slack   = 56
		window  = 100 // steps
	)
	for name, nodes := range map[string]int{"one": 1, "few": 10, "many": 78} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			budgets := make([]*call.Budget, nodes)
			for i := range budgets {
				budgets[i] = call.NewBudget()
				budgets[i].Limit(slack, nodes)
			}
			var calls, extra []int
			for step := range 1000 {
				calls, extra = append(calls, 0), append(extra, 0)
				for _, b := range budgets {
					for range random.IntN(1 + step/50%5) {
						b.Pay(percent)
						calls[step]++
						for range random.IntN(3) {
							if b.Take() {
								extra[step]++
							}
						}
					}
				}
				sumCalls, sumExtra := 0, 0
				for i := max(0, step-window+1); i <= step; i++ {
					sumCalls, sumExtra = sumCalls+calls[i], sumExtra+extra[i]
				}
				require.LessOrEqual(t, sumExtra*100, sumCalls*percent+slack*100)
			}
		})
	}
}
