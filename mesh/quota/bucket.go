package quota

// This file decides the calls of one workspace at one node.

import (
	"math"
	"sync"
	"time"

	"caroblift.dev/mesh/record"
)

const (
	// agingFrom and staleFrom are the ages of the last total, in heartbeat intervals, from
	// which the headroom shrinks and from which a node has none and keeps its usual share.
	// One lost heartbeat is no reason; a node that is cut off must not use headroom for long.
	agingFrom = 2.2
	staleFrom = 3.6
	// relevantTime is the age from which a total is not used or passed on any more.
	relevantTime = 3 * time.Second
	// unlistedTime is the time since a total last listed a workspace after which the
	// workspace counts as far from its quota.
	unlistedTime = 1500 * time.Millisecond
	// staleTokens is the least capacity of a bucket without a recent total and with less
	// than minBucketRate, so that few calls below the share are refused by chance.
	staleTokens = 2
	// staleBurst is the part of its share of the burst that a bucket without a recent total
	// holds.
	staleBurst = 0.25
	// leaseTime is the age of the last total from which a node cuts its share, since the
	// other nodes then use what was reserved for it.
	leaseTime = 10 * time.Second
	// expiredShare is the part of its share that a node keeps after leaseTime. With a
	// third of the nodes cut off, it adds a twelfth to the quota.
	expiredShare = 0.25
	// startShare is the part of an even share that a node uses before it has a total.
	startShare = 0.5
	// firstTotalTime is how long a node that has been running uses headroom before its first
	// total: no node had calls before, so that the whole burst is left.
	firstTotalTime = 2 * time.Second
	// correctionTime is the time in which the fleet makes up for calls admitted in excess
	// or left of the burst. Much less than the age of the totals, about a second, would
	// make the admitted rate oscillate. 1.2 to 2 s gave the same results in simulations.
	correctionTime = 1500 * time.Millisecond
	// leadTime is about the age of the totals, for which the excess that they show is
	// expected to have continued.
	leadTime = 1000 * time.Millisecond
	// significance is the change between two counts, in standard deviations of the larger
	// one, that is not put down to chance.
	significance = 3
	// maxGrowth limits the factor by which the calls of a part of the fleet make a node
	// expect more calls of the whole fleet than the last total has.
	maxGrowth = 10
	// usualTime is the time over which a node's usual share is averaged, for workspaces with
	// less than a call a second at a node.
	usualTime = 5 * time.Second
	// trendFactor is how many times an increase between two totals is expected to have
	// happened again.
	trendFactor = 1.5
	// extraBurst is added to each burst, in calls: workspaces with a few calls a second
	// would be refused by chance below their quota.
	extraBurst = 8
	// headroomBand is the part of the quota that the total must be below what is
	// allowed for full headroom.
	headroomBand = 0.3
	// headroomRefill is the factor of a bucket's rate with full headroom. The calls
	// admitted in excess before the totals show an overload are made up for later.
	headroomRefill = 1.6
	// headroomBurst is the time at the full quota that buckets hold in addition to the
	// burst with full headroom.
	headroomBurst = 500 * time.Millisecond
	// headroomTokens is the smallest capacity of a bucket with full headroom, and what is
	// added to it at most for nodes with a call a second or more, whose calls come in larger
	// groups.
	headroomTokens = 3
	// minBucketRate is the share, in calls a second, below which calls are admitted by
	// probability: a bucket of so few calls reacts too slowly and a share is too uncertain.
	minBucketRate = 2
	// looseRefill is the factor of the rate of a bucket that only bounds what is admitted by
	// probability, since the calls of such nodes come unevenly.
	looseRefill = 4
	// bucketTime is the time at the node's rate that a bucket holds without headroom.
	bucketTime = 500 * time.Millisecond
	// minCorrection is the least part of the quota that remains allowed while the fleet
	// makes up for an excess.
	minCorrection = 0.05
	// maxExcess limits the excess to be made up for, in seconds of the quota. It covers
	// one window.
	maxExcess = 5
	// returnPart is the part of a node's rate that returning calls may expect. A workspace
	// uses about 0.6 of its quota as a rule.
	returnPart = 0.35
	// maxRetryAfter limits the delay that a refused caller is told: two windows of
	// the quota have passed.
	maxRetryAfter = 10 * time.Second
)

// bucket is the state of one workspace at one node.
type bucket struct {
	id uint64

	created time.Duration

	mu          sync.Mutex
	rate, burst float64 // the quota
	offered     counter
	admitted    counter
	tokens      float64
	refilledAt  time.Duration
	called      time.Duration // time of the last call
	promised    time.Duration // time for which the last refused call was told to return
	random      uint64

	total    counts        // last total that listed the workspace
	listed   bool          // whether there was one
	listedAt time.Duration // when it was received
	expected forecast      // from the last totals
	level    float64       // calls that the fleet has left of the burst; negative after an excess

	usual float64 // mean part of the node in the total over usualTime
	share float64 // the node's part of the quota as of the last total
	plan  plan
	next  int64         // slot from which the plan must be renewed
	basis time.Duration // time of the total from which the plan was made
}

// plan is how a bucket decides until the next total or time slot.
type plan struct {
	refill   float64 // tokens a second
	capacity float64
	chance   float64 // probability of admission before a token is taken
	rate     float64 // calls a second that the node may admit, for the delay of refused calls
}

// counts is the calls of reportedTime.
type counts struct{ offered, admitted uint32 }

// perS converts a count to calls a second.
func perS(count uint32) float64 { return float64(count) / reportedTime.Seconds() }

// forecast is the rate of the fleet's calls now, in calls a second.
type forecast struct{ offered, admitted float64 }

// update derives the forecast from the last two totals: from their mean if they differ
// by no more than chance explains. An increase beyond that is expected to have
// continued, since the totals are old.
func (f *forecast) update(now, before counts) {
	f.offered, f.admitted = predict(now.offered, before.offered), predict(now.admitted, before.admitted)
}

func predict(now, before uint32) float64 {
	change := float64(now) - float64(before)
	if chance := significance * math.Sqrt(float64(max(now, before))); math.Abs(change) > chance {
		return perS(now) + max(change-chance, 0)*trendFactor/reportedTime.Seconds()
	}
	return (perS(now) + perS(before)) / 2
}

// growth returns the factor by which calls have increased beyond chance, or 1.
func growth(now, before uint32) float64 {
	if float64(now)-float64(before) <= significance*math.Sqrt(float64(now)) {
		return 1
	}
	return min(float64(now)/float64(max(before, 1)), maxGrowth)
}

// tight reports whether a noticeable part of the calls is refused.
func (c counts) tight() bool { return float64(c.offered) > float64(c.admitted)*1.02 }

func newBucket(w *record.Workspace, seed uint64, at time.Duration) *bucket {
	id := ID(w.Name)
	return &bucket{id: id, created: at, rate: w.Rate, burst: w.Burst, level: w.Burst + extraBurst, tokens: 1, random: max(id^seed, 1)}
}

func (b *bucket) lastCall() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.called
}

func (b *bucket) admit(w *record.Workspace, f fleet, at time.Duration) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate != w.Rate || b.burst != w.Burst {
		b.rate, b.burst, b.next = w.Rate, w.Burst, 0
		b.level = min(b.level, b.fullLevel())
	}
	b.admitted.advance(at)
	if b.offered.advance(at) || b.basis != f.receivedAt || b.offered.slot >= b.next {
		b.renewPlan(f, at)
	}
	b.offered.add()
	b.called = at
	if elapsed := at - b.refilledAt; elapsed > 0 {
		b.tokens += b.plan.refill * elapsed.Seconds()
		b.refilledAt = at
	}
	b.tokens = min(b.tokens, b.plan.capacity)
	if b.tokens >= 1 && (b.plan.chance >= 1 || b.draw() < b.plan.chance) {
		b.tokens--
		b.admitted.add()
		return Decision{Admitted: true}
	}
	return Decision{
		RetryAfter: b.promise(at), Quota: b.rate, Refill: b.plan.refill, Tokens: b.tokens, Chance: b.plan.chance,
		Offered: perS(b.total.offered), Passed: perS(b.total.admitted), Level: b.level, Age: at - f.measuredAt, Nodes: f.nodes,
	}
}

// draw returns a random number in [0, 1).
func (b *bucket) draw() float64 {
	b.random ^= b.random << 13
	b.random ^= b.random >> 7
	b.random ^= b.random << 17
	return float64(b.random>>11) / (1 << 53)
}

// promise returns when a refused call should be repeated. Refused calls get
// successive places at a part of the node's rate, so that those that return find room
// beside new calls. When no place is left up to maxRetryAfter, the delay is random.
func (b *bucket) promise(at time.Duration) time.Duration {
	rate := max(b.plan.rate*returnPart, 1e-3)
	place := at + time.Duration(max(1-b.tokens, 1-b.plan.chance, 0)/rate*float64(time.Second))
	place = max(place, b.promised+time.Duration(float64(time.Second)/rate))
	if place <= at+maxRetryAfter {
		b.promised = place
		return place - at
	}
	return time.Duration((1 + b.draw()) / 2 * float64(maxRetryAfter))
}

// handleTotal records a total that lists the workspace.
func (b *bucket) handleTotal(c counts, f fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := f.receivedAt
	elapsed := at - b.listedAt
	if b.listed && elapsed <= relevantTime {
		b.level += (b.rate - perS(c.admitted)) * elapsed.Seconds()
		b.expected.update(c, b.total)
	} else {
		b.level = max(b.fullLevel()-max(perS(c.offered)-b.rate, 0)*correctionTime.Seconds(), 0)
		b.expected = forecast{perS(c.offered), perS(c.admitted)}
	}
	b.level = min(max(b.level, -maxExcess*b.rate), b.fullLevel())
	if b.usual == 0 {
		b.usual = 1 / float64(f.nodes)
	}
	if c.offered > 0 {
		own := float64(b.offered.before(f.measuredAt, perSecond)) / perS(c.offered)
		b.usual += (own - b.usual) * min(elapsed.Seconds()/usualTime.Seconds(), 0.2)
	}
	b.total, b.listed, b.listedAt, b.next = c, true, at, 0
}

// renewPlan derives the plan from the quota, the last total and the node's own calls
// at the time of that total.
func (b *bucket) renewPlan(f fleet, at time.Duration) {
	b.next, b.basis = slotOf(at)+1, f.receivedAt
	even := 1 / float64(max(f.nodes, 1))
	aging := f.aging(at)
	allowed, headroom, chance := b.rate, 0.0, 1.0
	switch {
	case !f.known && f.settled:
		b.share = even
		if at-b.created < firstTotalTime {
			headroom = 1
		}
	case !f.known:
		b.share = startShare * even
	case aging == 1:
		if b.share = b.usual; b.share == 0 {
			b.share = even
		}
		if age := at - f.receivedAt; age > leaseTime {
			allowed *= expiredShare
		}
		chance = min(1, allowed/max(b.expected.offered, 1))
	case !b.listed || f.receivedAt-b.listedAt > unlistedTime: // the fleet refuses no calls of the workspace
		b.share, headroom = max(b.usual, even), 1-aging
	default:
		allowed, headroom, chance = b.planByTotal(f, even, at)
		if aging > 0 {
			b.share, allowed, headroom = b.usual, min(allowed, b.rate), headroom*(1-aging)
		}
	}
	b.setPlan(allowed, headroom, chance, headroom == 0 && (!f.known || aging == 1))
}

// planByTotal sets the share by a recent total, and returns the calls a second that the
// fleet may admit, the part of the headroom and the probability of admission.
func (b *bucket) planByTotal(f fleet, even float64, at time.Duration) (allowed, headroom, chance float64) {
	offered := b.expected.offered * b.offered.growth(f.measuredAt, at)
	excess := (b.expected.admitted*b.admitted.growth(f.measuredAt, at) - b.rate) * leadTime.Seconds()
	allowed = max(b.rate+min(b.level-excess, b.fullLevel())/correctionTime.Seconds(), minCorrection*b.rate)
	headroom = min(max((allowed-offered)/(headroomBand*b.rate), 0), 1)
	if offered <= 0 {
		b.share = even
		return allowed, headroom, 1
	}
	b.share = b.shareOf(offered, even, f.measuredAt)
	return allowed, headroom, min(1, allowed/offered)
}

// fullLevel returns the level of a fleet that has used nothing of the burst.
func (b *bucket) fullLevel() float64 { return b.burst + extraBurst }

// shareOf returns the node's part of the total at the time of the total. An even part
// counts as about one call more, so that the shares of all nodes still add up to one.
func (b *bucket) shareOf(offered, even float64, measuredAt time.Duration) float64 {
	own := float64(b.offered.before(measuredAt, perSecond))
	weight := min(2, 1/(offered*even))
	return (own/offered + max(b.usual, even/2)*weight) / (1 + weight)
}

// setPlan sets the plan for a share of the calls a second that the fleet may admit. A
// stale plan has no recent total and must not exceed the share.
func (b *bucket) setPlan(allowed, headroom, chance float64, stale bool) {
	p := plan{rate: b.share * allowed, chance: 1}
	p.refill = p.rate * (1 + headroom*(headroomRefill-1))
	p.capacity = max(1, p.rate*bucketTime.Seconds())
	roomy := max(headroomTokens+min(1.5*b.share*b.rate, headroomTokens), b.share*(b.burst+b.rate*headroomBurst.Seconds()))
	p.capacity += headroom * max(roomy-p.capacity, 0)
	if b.share*b.rate < minBucketRate {
		p.chance = chance
		p.refill = max(p.refill*(1+(looseRefill-1)*(1-headroom)), headroom) // at least a token a second with headroom
		p.capacity = max(p.capacity, 2)
	}
	if stale {
		p.refill, p.capacity = p.rate, max(p.capacity, b.share*b.burst*staleBurst)
		if b.share*b.rate < minBucketRate {
			p.capacity = max(p.capacity, staleTokens)
		}
	}
	b.plan = p
}
