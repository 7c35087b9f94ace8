package backend

// This file checks the health of a backend server before its node admits calls
// to it. A node that has restarted does not know whether the server had already
// announced that it is leaving, and a delayed announcement from before that may
// still arrive.

import (
	"context"
	"net/http"
	"time"
)

// Health is the result of a request to a backend server's health path.
type Health int

// The values of Health.
const (
	HealthUnclear    Health = iota // no answer, or one that does not show the server's state
	Healthy                        // the server accepts calls
	Unhealthy                      // the server is leaving or failing
	OtherIncarnation               // another incarnation answered
	HealthLeaving                  // the server states that it is leaving
)

// String returns the name used in log lines.
func (h Health) String() string {
	return [...]string{"unclear", "well", "unwell", "elsewhere", "leaving"}[h]
}

const (
	// healthTimeout bounds one health request. A server answers in a few ms
	// unless all its slots are taken, and the next announcement starts another
	// check if this one fails.
	healthTimeout = 500 * time.Millisecond
	// healthRetryDelay is the delay between health requests while the result is
	// unclear, and maxHealthTries bounds the requests of one check: a starting
	// node may not know the health path yet.
	healthRetryDelay = 50 * time.Millisecond
	maxHealthTries   = 20
	// confirmingAnnouncements is the number of announcements of an incarnation,
	// each newer than the one before, that replace a health check without a clear
	// result: a server that is full refuses the checks.
	confirmingAnnouncements = 3
	// loneConfirmTime is how long this process must have run before announcements are
	// counted though it has met no node that knows of earlier processes: delayed
	// announcements come seconds late.
	loneConfirmTime = 10 * time.Second
)

// healthCheck is the state of the check of one incarnation of the server.
type healthCheck struct {
	incarnation   Announcement // only its name and epoch count
	newest        *Announcement
	announcements int // received, each newer than the one before
	running       bool
	passed        bool
	failed        bool // a check found the server unfit, so only a passed one lets it in
}

// confirm reports whether an announcement may take effect now. For an
// incarnation that is not confirmed yet it records the announcement and starts
// a health check unless one is running. No number of announcements outweighs a
// failed check: they may all have been sent before it and delayed since. Nor are they
// counted before other nodes could tell which server has left. The caller holds a.mu.
func (a *Announcer) confirm(in *Announcement) bool {
	c := &a.healthCheck
	if a.config.CheckHealth == nil || in.Name == "" || in.Leaving || c.passed && c.incarnation.sameIncarnation(in) {
		return true
	}
	if !c.incarnation.sameIncarnation(in) {
		*c = healthCheck{incarnation: *in}
	}
	if c.newest == nil || in.Seq > c.newest.Seq {
		c.newest = in
		c.announcements++
	}
	if c.announcements >= confirmingAnnouncements && a.mayCount(c) {
		c.passed = true
		return true
	}
	if !c.running {
		c.running = true
		go a.runHealthCheck(*in)
	}
	return false
}

// mayCount reports whether announcements may replace a health check without a clear
// result: nothing says that the server may have left, and this process knows of the
// departures that an earlier one acknowledged. The caller holds a.mu.
func (a *Announcer) mayCount(c *healthCheck) bool {
	if c.failed || a.lease.mayHaveLeft(&c.incarnation) {
		return false
	}
	return a.config.Departures == nil || a.config.Departures.Met() || time.Since(a.startedAt) >= loneConfirmTime
}

// runHealthCheck requests the server's health, up to maxHealthTries times while
// the result is unclear. The newest announcement of the incarnation takes effect
// once the server accepts calls.
func (a *Announcer) runHealthCheck(in Announcement) {
	for tries := 1; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
		health := a.config.CheckHealth(ctx, &in)
		cancel()
		if retry := a.handleHealth(in, health, tries); !retry {
			return
		}
		time.Sleep(healthRetryDelay)
	}
}

// handleHealth handles the result of one health request and reports whether to
// send another.
func (a *Announcer) handleHealth(in Announcement, health Health, tries int) (retry bool) {
	a.config.Log.Info("backend server checked", "server", in.Name, "seq", in.Seq, "health", health.String(), "tries", tries)
	a.updateLease(func(now time.Time) (bool, *Announcement, bool) {
		c := &a.healthCheck
		if c.passed || !c.incarnation.sameIncarnation(&in) {
			return false, nil, false
		}
		if health == HealthLeaving {
			c.running = false
			leaving := *c.newest
			leaving.Leaving = true
			accepted := a.lease.renew(&leaving, now)
			next, changed := a.lease.evaluate(now)
			return accepted, next, changed
		}
		if health != Healthy {
			retry = health == HealthUnclear && tries < maxHealthTries
			c.running, c.failed = retry, c.failed || health != HealthUnclear
			return false, nil, false
		}
		c.running, c.passed = false, true
		accepted := a.lease.renew(c.newest, now)
		next, changed := a.lease.evaluate(now)
		return accepted, next, changed
	})
	return retry
}

// HealthDialect is implemented by a Dialect that can tell which incarnation of
// a server answered a health request.
type HealthDialect interface {
	// Life returns the name of the incarnation that answered, and false when the
	// request was refused like a call, for lack of a slot.
	Life(answer *http.Response) (name string, taken bool)
}

// CheckHealth sends a health request to the address of an announcement and
// returns the result, which is unclear when path, the service's health path, is
// empty or the gate's dialect can't tell which incarnation answered.
func (g *Gate) CheckHealth(ctx context.Context, in *Announcement, path string) Health {
	health, incarnation := g.RequestHealth(ctx, in.Address, path)
	if health != HealthUnclear && incarnation != in.Name {
		return OtherIncarnation
	}
	return health
}

// RequestHealth sends a health request to a backend server. It returns Healthy, Unhealthy
// or HealthLeaving and the name of the incarnation that answered, or HealthUnclear and ""
// in the cases that CheckHealth names and when there is no answer.
func (g *Gate) RequestHealth(ctx context.Context, address, path string) (health Health, incarnation string) {
	dialect, ok := g.config.Dialect.(HealthDialect)
	if !ok || path == "" {
		return HealthUnclear, ""
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return HealthUnclear, ""
	}
	resp, err := g.unpooled.RoundTrip(req)
	if err != nil {
		return HealthUnclear, ""
	}
	defer resp.Body.Close()
	states := g.config.Dialect.Statement(resp.Header)
	switch incarnation, taken := dialect.Life(resp); {
	case states.Leaving && incarnation != "":
		return HealthLeaving, incarnation
	case states.Leaving: // that of whichever server is at the address
		return Unhealthy, ""
	case !taken:
		return HealthUnclear, ""
	case resp.StatusCode == http.StatusOK:
		g.recordHealth(incarnation, states)
		return Healthy, incarnation
	default:
		return Unhealthy, incarnation
	}
}
