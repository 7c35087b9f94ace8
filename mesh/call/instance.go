package call

// This file tracks what an entry node knows of an instance: the load that its
// responses report, its latency and its failures.

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxReportAge         = time.Second      // age from which a reported load is ignored
	averageHalfLife      = 10 * time.Second // time in which an average without new samples halves
	latencyWeight        = 0.1              // weight of a new sample in the average latency
	transitWeight        = 0.2              // weight of a new sample in the average transit time
	loadWeight           = 0.1              // weight of a new sample in the mean and the deviation of the load
	refusalWeight        = 0.2              // weight of a new answer in the share of calls refused for want of room
	failureWeight        = 0.2              // weight of a new result in the failure rate
	ejectionFailureRate  = 0.6              // failure rate from which an instance is ejected
	minEjection          = time.Second      // duration of the first ejection
	maxEjectionDoublings = 5                // maximum doublings of minEjection
	maxLimitPause        = 5 * time.Second  // longest time for which a refusal by a limit counts
)

// LoadReport is the load of a backend server, which its node sends with each
// response.
type LoadReport struct {
	InProgress   int // calls in progress or queued
	Slots        int
	MeanDuration time.Duration // average duration of a call; zero when unknown
	FailureRate  float64       // recent failure rate, from 0 to 1
}

// String returns the value of HeaderLoad: calls in progress, slots, average
// duration in ms and failure rate in percent, separated by slashes.
func (r LoadReport) String() string {
	var buffer [40]byte
	out := strconv.AppendInt(buffer[:0], int64(r.InProgress), 10)
	out = strconv.AppendInt(append(out, '/'), int64(r.Slots), 10)
	out = strconv.AppendInt(append(out, '/'), r.MeanDuration.Milliseconds(), 10)
	out = strconv.AppendInt(append(out, '/'), int64(r.FailureRate*100), 10)
	return string(out)
}

// ParseLoadReport parses the value of HeaderLoad. It returns false when the
// value is invalid. Nodes of earlier versions send only the calls in progress
// and the slots.
func ParseLoadReport(text string) (LoadReport, bool) {
	var fields [4]int
	n := 0
	for part := range strings.SplitSeq(text, "/") {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 || n == len(fields) {
			return LoadReport{}, false
		}
		fields[n] = v
		n++
	}
	if n != 2 && n != len(fields) {
		return LoadReport{}, false
	}
	return LoadReport{
		InProgress: fields[0], Slots: fields[1],
		MeanDuration: time.Duration(fields[2]) * time.Millisecond, FailureRate: min(float64(fields[3])/100, 1),
	}, true
}

// Instance holds what an entry node knows of one instance. Its methods may be
// called concurrently.
type Instance struct {
	Name   string
	Memory *Memory // outlives the node's incarnation

	slots            atomic.Int32  // as announced, or as last reported
	outstanding      atomic.Int32  // this node's calls in progress there
	packedReport     atomic.Uint64 // see packReport; zero when there is none
	latency          average       // in seconds
	load             average       // of the reported load, as a share of the slots
	squaredLoad      average       // of the square of the load
	failures         average       // failure rate of this node's attempts
	refusals         [2]average    // share of this node's attempts that were refused for want of room; the second is for large responses
	reportedDuration average       // average duration of a call as last reported, in seconds
	reportedFailures average       // failure rate as last reported
	transit          [2]average    // time on the network, in seconds; the second is for large responses
	tallies          atomic.Pointer[tallyReport]
	linkWait         average      // wait for its network link as last reported, in seconds
	ejectedUntil     atomic.Int64 // end of the ejection, in Unix ns
	limitedUntil     atomic.Int64 // until when the backend server's limit is expected to leave no room, in Unix ns
	ejections        atomic.Int32 // consecutive ejections
}

// average is an exponentially weighted moving average with the time of its last
// update. Concurrent updates may be lost, which is harmless.
type average struct {
	bits    atomic.Uint64
	updated atomic.Int64 // Unix ns; zero before the first update
}

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) set(v float64) { a.bits.Store(math.Float64bits(v)) }

func (a *average) add(v, weight float64, now time.Time) {
	if a.updated.Swap(now.UnixNano()) != 0 {
		v = a.value() + weight*(v-a.value())
	}
	a.set(v)
}

// replace sets the average to a value that another node reported.
func (a *average) replace(v float64, now time.Time) {
	a.updated.Store(now.UnixNano())
	a.set(v)
}

// decayed returns the average, halved for each averageHalfLife since its last
// update.
func (a *average) decayed(now time.Time) float64 {
	age := now.UnixNano() - a.updated.Load()
	return a.value() * math.Exp2(-float64(age)/float64(averageHalfLife))
}

// NewInstance returns an instance with the number of slots that it announced.
func NewInstance(name string, slots int) *Instance {
	i := &Instance{Name: name, Memory: &Memory{}}
	i.slots.Store(int32(max(1, slots)))
	return i
}

// Begin counts a call of this node as in progress until End.
func (i *Instance) Begin() { i.outstanding.Add(1) }

// End ends a call that Begin counted.
func (i *Instance) End() { i.outstanding.Add(-1) }

// Outstanding returns the number of this node's calls in progress.
func (i *Instance) Outstanding() int { return int(i.outstanding.Load()) }

// RecordLoad records the load that a response reported.
func (i *Instance) RecordLoad(r LoadReport, now time.Time) {
	if r.Slots > 0 {
		i.recordSlots(r.Slots)
	}
	if r.MeanDuration > 0 {
		i.reportedDuration.replace(r.MeanDuration.Seconds(), now)
	}
	i.reportedFailures.replace(r.FailureRate, now)
	ratio := float64(r.InProgress) / float64(max(1, r.Slots))
	i.load.add(ratio, loadWeight, now)
	i.squaredLoad.add(ratio*ratio, loadWeight, now)
	i.packedReport.Store(packReport(r.InProgress, i.Outstanding(), now))
}

// recordSlots records the reported number of slots. Calls that were refused while there were
// fewer say less of the refusals to expect: without this, a server that has become warm was
// avoided for some 10 s for the refusals before.
func (i *Instance) recordSlots(slots int) {
	if before := int(i.slots.Swap(int32(slots))); slots > before {
		for n := range i.refusals {
			i.refusals[n].set(i.refusals[n].value() * float64(before) / float64(slots))
		}
	}
}

// tallyReport is the tallies in the last answer of an instance that had any.
type tallyReport struct {
	tallies []Tally
	at      time.Time
}

// RecordTallies records the tallies that a response reported.
func (i *Instance) RecordTallies(tallies []Tally, now time.Time) {
	i.tallies.Store(&tallyReport{tallies, now})
}

// A packed report holds the reported number of calls, the number of this node's
// calls at that time, and the time in ms, so that a single atomic covers all
// three.
const (
	packShift = 16
	packMask  = 1<<packShift - 1
)

// packReport packs a report. Both counts saturate at packMask.
func packReport(progress, own int, now time.Time) uint64 {
	p, o := uint64(min(progress, packMask)), uint64(min(max(own, 0), packMask))
	return uint64(uint32(now.UnixMilli()))<<(2*packShift) | o<<packShift | p
}

// InProgress estimates the number of calls in progress at the instance. It adds
// this node's calls to those of other nodes in the last report, which decrease
// linearly to zero at maxReportAge.
func (i *Instance) InProgress(now time.Time) float64 {
	own := float64(i.outstanding.Load())
	packed := i.packedReport.Load()
	if packed == 0 {
		return own
	}
	others := float64(packed&packMask) - float64(packed>>packShift&packMask)
	age := time.Duration(uint32(now.UnixMilli())-uint32(packed>>(2*packShift))) * time.Millisecond
	if others <= 0 || age >= maxReportAge {
		return own
	}
	return own + others*(1-float64(age)/float64(maxReportAge))
}

// Utilization returns the utilization: the estimated calls in progress as a
// share of the slots.
func (i *Instance) Utilization(now time.Time) float64 {
	return i.InProgress(now) / float64(i.slots.Load())
}

// RecordLatency records the latency of a call that got a response.
func (i *Instance) RecordLatency(d time.Duration, now time.Time) {
	i.latency.add(d.Seconds(), latencyWeight, now)
}

// RecordTransit records the time that a call spent on the network to the
// instance and back, including its body. Calls with a large response (bulk) are
// averaged separately.
func (i *Instance) RecordTransit(d time.Duration, bulk bool, now time.Time) {
	i.transitAverage(bulk).add(max(0, d.Seconds()), transitWeight, now)
}

// RecordLinkWait records the reported time that a large response would wait for
// the instance's network link.
func (i *Instance) RecordLinkWait(wait time.Duration, now time.Time) {
	i.linkWait.replace(wait.Seconds(), now)
}

// expectedLinkWait returns how long a large response is expected to wait for the
// link, in seconds: the reported wait less the time since the report.
func (i *Instance) expectedLinkWait(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - i.linkWait.updated.Load())
	return max(0, i.linkWait.value()-age.Seconds())
}

// transitAverage returns the average time on the network, for large responses or
// for others.
func (i *Instance) transitAverage(bulk bool) *average { return &i.transit[bulkIndex(bulk)] }

// bulkIndex returns the index of an average that is kept for large responses and for others.
func bulkIndex(bulk bool) int {
	if bulk {
		return 1
	}
	return 0
}

// Latency returns the average latency in seconds. It decays while the instance
// gets no calls, so that a slow instance is tried again.
func (i *Instance) Latency(now time.Time) float64 { return i.latency.decayed(now) }

// FailureRate returns the failure rate of this node's attempts. It decays in
// the same way as the latency.
func (i *Instance) FailureRate(now time.Time) float64 { return i.failures.decayed(now) }

// Ejected reports whether the instance is ejected or avoided now.
func (i *Instance) Ejected(now time.Time) bool { return i.ejectedUntil.Load() > now.UnixNano() }

// Avoid ejects the instance for minEjection, because it refused a call or could
// not be reached. This doesn't lengthen later ejections.
func (i *Instance) Avoid(now time.Time) {
	if until := now.Add(minEjection).UnixNano(); until > i.ejectedUntil.Load() {
		i.ejectedUntil.Store(until)
	}
}

// RecordLimited records that a gate refused a call by a limit of its backend server,
// which has room for the next one after some time. All nodes share that room, so this
// one expects its part of it.
func (i *Instance) RecordLimited(after time.Duration, nodes int, now time.Time, rand Rand) {
	pause := min(after*time.Duration(max(1, nodes)), maxLimitPause)
	pause -= pause * time.Duration(rand(1000)) / 2000 // nodes that were refused together return apart
	i.limitedUntil.Store(now.Add(pause).UnixNano())
}

// limitWait returns how long the limit of the backend server is expected to leave no
// room, in seconds.
func (i *Instance) limitWait(now time.Time) float64 {
	return max(0, time.Duration(i.limitedUntil.Load()-now.UnixNano()).Seconds())
}

// RecordRoom records whether the instance's gate had room for a call that could be in time.
// Calls with a large response (bulk) are averaged separately, since the link may be what
// lacks room.
func (i *Instance) RecordRoom(room, bulk bool, now time.Time) {
	refused, share := 1.0, &i.refusals[bulkIndex(bulk)]
	if room {
		refused = 0
	}
	if share.updated.Load() == 0 {
		share.add(0, refusalWeight, now) // the first answer counts against an initial share of 0
	}
	share.add(refused, refusalWeight, now)
}

// recordSuccess records a successful attempt. The first one after an ejection
// resets the count of consecutive ejections.
func (i *Instance) recordSuccess(now time.Time) {
	i.failures.add(0, failureWeight, now)
	if i.ejections.Load() > 0 && !i.Ejected(now) {
		i.ejections.Store(0)
	}
}

// recordFailure records a failed attempt and reports whether the instance should
// be ejected. The first result counts against an initial rate of 0, so that a
// single failure doesn't eject.
func (i *Instance) recordFailure(now time.Time) bool {
	if i.failures.updated.Load() == 0 {
		i.failures.add(0, failureWeight, now)
	}
	i.failures.add(1, failureWeight, now)
	return i.failures.value() >= ejectionFailureRate
}

// eject ejects the instance for a time that doubles with each consecutive
// ejection. It sets the failure rate to the threshold, so that one more failure
// ejects the instance again.
func (i *Instance) eject(now time.Time) {
	n := min(i.ejections.Add(1)-1, maxEjectionDoublings)
	i.ejectedUntil.Store(now.Add(minEjection << n).UnixNano())
	i.failures.set(ejectionFailureRate)
}
