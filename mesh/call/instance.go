package call

// This file defines what an entry node knows of an instance: its load as
// carried on answers, its latency and its failures.

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	reportHorizon   = time.Second      // after which a carried load counts for nothing
	fadeHalf        = 10 * time.Second // in which an average that is not renewed counts for half
	latencyShare    = 0.1              // of a new latency in the average
	pathShare       = 0.2              // of a new time on the way in the average
	loadShare       = 0.1              // of a new load in mean and deviation
	failureShare    = 0.2              // of a new result in the failure rate
	failureBound    = 0.6              // failure rate at which an instance is ejected
	ejectionBase    = time.Second
	ejectionDoubles = 5 // doublings of the ejection at most
)

// Report is the load of a backend server as its node carries it on answers.
type Report struct {
	Progress int // calls in progress or waiting
	Slots    int
	Work     time.Duration // average of a call in progress; zero when not known
	Failing  float64       // share of calls that failed lately
}

// String formats a report as HeaderLoad carries it: progress, slots, work in ms
// and failing in percent.
func (r Report) String() string {
	var buffer [40]byte
	out := strconv.AppendInt(buffer[:0], int64(r.Progress), 10)
	out = strconv.AppendInt(append(out, '/'), int64(r.Slots), 10)
	out = strconv.AppendInt(append(out, '/'), r.Work.Milliseconds(), 10)
	out = strconv.AppendInt(append(out, '/'), int64(r.Failing*100), 10)
	return string(out)
}

// ParseReport reads what HeaderLoad carries. Nodes of earlier versions send
// progress and slots alone.
func ParseReport(text string) (Report, bool) {
	var numbers [4]int
	n := 0
	for part := range strings.SplitSeq(text, "/") {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 || n == len(numbers) {
			return Report{}, false
		}
		numbers[n] = v
		n++
	}
	if n != 2 && n != len(numbers) {
		return Report{}, false
	}
	return Report{
		Progress: numbers[0], Slots: numbers[1],
		Work: time.Duration(numbers[2]) * time.Millisecond, Failing: min(float64(numbers[3])/100, 1),
	}, true
}

// Instance is what an entry node knows of one instance. Its methods may be
// called concurrently.
type Instance struct {
	Name string

	slots       atomic.Int32 // as announced or carried
	outstanding atomic.Int32 // own calls in progress there
	report      atomic.Uint64
	latency     average
	load        average // of the carried load, as a share of the slots
	square      average // of its square
	failures    average
	work        average      // as carried, in seconds
	carried     average      // share of failures as carried
	path        [2]average   // time that the way there took, in seconds; the second for large answers
	link        average      // wait for its link as carried, in seconds
	until       atomic.Int64 // end of the ejection, Unix ns
	ejections   atomic.Int32 // in a row
}

// average is an exponentially weighted average with the time of its last
// update. A lost update does no harm.
type average struct {
	bits atomic.Uint64
	at   atomic.Int64 // Unix ns
}

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) set(v float64) { a.bits.Store(math.Float64bits(v)) }

func (a *average) add(v, share float64, now time.Time) {
	if a.at.Swap(now.UnixNano()) != 0 {
		v = a.value() + share*(v-a.value())
	}
	a.set(v)
}

// keep replaces the average by a value that was averaged elsewhere.
func (a *average) keep(v float64, now time.Time) {
	a.at.Store(now.UnixNano())
	a.set(v)
}

// faded returns the average, halved for each fadeHalf since its last update.
func (a *average) faded(now time.Time) float64 {
	age := now.UnixNano() - a.at.Load()
	return a.value() * math.Exp2(-float64(age)/float64(fadeHalf))
}

// NewInstance returns an instance with the slots that it announced.
func NewInstance(name string, slots int) *Instance {
	i := &Instance{Name: name}
	i.slots.Store(int32(max(1, slots)))
	return i
}

// Begin counts an own call.
func (i *Instance) Begin() { i.outstanding.Add(1) }

// End ends an own call.
func (i *Instance) End() { i.outstanding.Add(-1) }

// Outstanding returns the own calls in progress.
func (i *Instance) Outstanding() int { return int(i.outstanding.Load()) }

// Carry takes the load that an answer carried.
func (i *Instance) Carry(r Report, now time.Time) {
	if r.Slots > 0 {
		i.slots.Store(int32(r.Slots))
	}
	if r.Work > 0 {
		i.work.keep(r.Work.Seconds(), now)
	}
	i.carried.keep(r.Failing, now)
	ratio := float64(r.Progress) / float64(max(1, r.Slots))
	i.load.add(ratio, loadShare, now)
	i.square.add(ratio*ratio, loadShare, now)
	i.report.Store(pack(r.Progress, i.Outstanding(), now))
}

// A packed report holds the carried count, the own calls among it and the time
// in ms, so that one atomic covers all three.
const (
	packShift = 16
	packMask  = 1<<packShift - 1
)

func pack(progress, own int, now time.Time) uint64 {
	p, o := uint64(min(progress, packMask)), uint64(min(max(own, 0), packMask))
	return uint64(uint32(now.UnixMilli()))<<(2*packShift) | o<<packShift | p
}

// InProgress estimates the calls in progress at the instance: what others had
// there by the last report, aged, and the own calls now.
func (i *Instance) InProgress(now time.Time) float64 {
	own := float64(i.outstanding.Load())
	packed := i.report.Load()
	if packed == 0 {
		return own
	}
	others := float64(packed&packMask) - float64(packed>>packShift&packMask)
	age := time.Duration(uint32(now.UnixMilli())-uint32(packed>>(2*packShift))) * time.Millisecond
	if others <= 0 || age >= reportHorizon {
		return own
	}
	return own + others*(1-float64(age)/float64(reportHorizon))
}

// Busy returns the estimated calls in progress as a share of the slots.
func (i *Instance) Busy(now time.Time) float64 {
	return i.InProgress(now) / float64(i.slots.Load())
}

// Took takes the latency of an answered call.
func (i *Instance) Took(d time.Duration, now time.Time) {
	i.latency.add(d.Seconds(), latencyShare, now)
}

// Path takes the time that a call spent on the way to the instance and back,
// its body included. Large answers are counted by themselves.
func (i *Instance) Path(d time.Duration, bulk bool, now time.Time) {
	i.way(bulk).add(max(0, d.Seconds()), pathShare, now)
}

// Link takes how long a large answer would wait for the instance's link.
func (i *Instance) Link(wait time.Duration, now time.Time) { i.link.keep(wait.Seconds(), now) }

// turn returns how long a large answer is expected to wait for the link, in
// seconds: what was carried, and less as time passes.
func (i *Instance) turn(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - i.link.at.Load())
	return max(0, i.link.value()-age.Seconds())
}

// way returns the average time of the way.
func (i *Instance) way(bulk bool) *average {
	if bulk {
		return &i.path[1]
	}
	return &i.path[0]
}

// Latency returns the average latency in seconds. It fades while the instance
// is not used, so that a slow one is tried again.
func (i *Instance) Latency(now time.Time) float64 { return i.latency.faded(now) }

// Failing returns the share of failures among the last results, which fades in
// the same way.
func (i *Instance) Failing(now time.Time) float64 { return i.failures.faded(now) }

// Ejected tells whether calls avoid the instance for now.
func (i *Instance) Ejected(now time.Time) bool { return i.until.Load() > now.UnixNano() }

// Avoid keeps calls away for a moment, because the instance said that it takes
// none or could not be reached. It costs the instance nothing later.
func (i *Instance) Avoid(now time.Time) {
	if until := now.Add(ejectionBase).UnixNano(); until > i.until.Load() {
		i.until.Store(until)
	}
}

// succeed takes a good answer.
func (i *Instance) succeed(now time.Time) {
	i.failures.add(0, failureShare, now)
	if i.ejections.Load() > 0 && !i.Ejected(now) {
		i.ejections.Store(0)
	}
}

// fail takes a failure and tells whether the instance should be ejected.
func (i *Instance) fail(now time.Time) bool {
	if i.failures.at.Load() == 0 {
		i.failures.add(0, failureShare, now)
	}
	i.failures.add(1, failureShare, now)
	return i.failures.value() >= failureBound
}

// eject keeps calls away for a time that doubles with each ejection in a row.
// The rate is left at the bound, so that one more failure ejects again.
func (i *Instance) eject(now time.Time) {
	n := min(i.ejections.Add(1)-1, ejectionDoubles)
	i.until.Store(now.Add(ejectionBase << n).UnixNano())
	i.failures.set(failureBound)
}
