package store

// This file keeps condemned requests on the platform, so that the nodes still know them
// after all of them have ended, and claims the trials of these requests there, so that the
// fleet makes each trial once.

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/decimal"
	"caroblift.dev/mesh/telemetry"
)

// KindCondemned is the kind of the objects that hold condemned requests, which are named
// by their fingerprints.
const KindCondemned = "condemned"

const (
	// claimSpread is the time over which nodes claim a trial that is due, so that most of
	// them hear of the claim of the first one.
	claimSpread = 5 * time.Second
	// keepRetryDelay is the time after which a write that failed is made again.
	keepRetryDelay = 2 * time.Second
	// sweepInterval is the time between two looks for objects of requests that are no
	// longer condemned.
	sweepInterval = 10 * time.Minute
	// keepInterval and keepBurst bound the objects that a node creates. Each takes the
	// end of two servers or more.
	keepInterval = time.Minute
	keepBurst    = 16
)

// CondemnedConfig configures a Condemned. Every field but Sinks is required.
type CondemnedConfig struct {
	Store    Store
	Suspects *call.Suspects
	IsFirst  func() bool // whether this node is the one that removes what is out of date
	Sinks    telemetry.Sinks
}

// Condemned does the duties of a node for condemned requests on the platform. While the
// platform is away, no trial is claimed and none made.
type Condemned struct {
	config  CondemnedConfig
	limiter *rate.Limiter
	waiting map[call.RequestDuty]time.Time // when each duty is to be done
	unknown map[string]bool                // objects of requests that were not condemned at the last sweep
}

// condemnedRequest is the JSON body of an object. It holds no times, since those who read
// it know only that it was written before.
type condemnedRequest struct {
	Ends   []condemnedEnd `json:"ends"`
	Trials decimal.Whole  `json:"trials"` // claimed until now
}

type condemnedEnd struct {
	Server string        `json:"server"` // hexadecimal
	Weight decimal.Whole `json:"weight"`

	Answered bool `json:"answered,omitempty"`
}

// NewCondemned returns a Condemned; Run does the work.
func NewCondemned(config CondemnedConfig) *Condemned {
	config.Sinks = config.Sinks.WithDefaults()
	return &Condemned{
		config: config, limiter: rate.NewLimiter(rate.Every(keepInterval), keepBurst),
		waiting: map[call.RequestDuty]time.Time{}, unknown: map[string]bool{},
	}
}

// Run reads what the platform holds, and does the duties that come up until the context
// ends.
func (c *Condemned) Run(ctx context.Context) error {
	var retry backoff
	restoreAt, sweepAt := time.Now(), time.Now().Add(sweepInterval)
	for {
		now := time.Now()
		if !restoreAt.IsZero() && !now.Before(restoreAt) {
			if err := c.restore(ctx); err != nil {
				c.config.Sinks.Log.Info("condemned requests not read", "error", err.Error())
				restoreAt = now.Add(retry.nextDelay(err))
			} else {
				restoreAt = time.Time{}
			}
		}
		if !now.Before(sweepAt) {
			c.sweep(ctx)
			sweepAt = now.Add(sweepInterval)
		}
		c.doDue(ctx)
		next := sweepAt
		for _, at := range c.waiting {
			next = earlier(next, at)
		}
		if !restoreAt.IsZero() {
			next = earlier(next, restoreAt)
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-c.config.Suspects.DutiesReady():
			c.plan(c.config.Suspects.TakeDuties())
		}
		timer.Stop()
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// plan adds duties that have come up.
func (c *Condemned) plan(added []call.RequestDuty) {
	for _, d := range added {
		if _, planned := c.waiting[d]; planned {
			continue
		}
		c.waiting[d] = time.Now()
		if d.Duty == call.ClaimTrial {
			c.waiting[d] = time.Now().Add(jitter(claimSpread))
		}
	}
}

// doDue does the duties whose time has come. Those that fail are planned anew but for
// claims, which come up again with the next call that is refused.
func (c *Condemned) doDue(ctx context.Context) {
	for d, at := range c.waiting {
		if time.Now().Before(at) {
			continue
		}
		var err error
		switch d.Duty {
		case call.KeepCondemned:
			err = c.keep(ctx, d.Request)
		case call.ClaimTrial:
			err = c.claim(ctx, d.Request)
		case call.DropAnswered:
			err = c.drop(ctx, d.Request)
		}
		delete(c.waiting, d)
		if err == nil || ctx.Err() != nil {
			continue
		}
		c.config.Sinks.Log.Info("condemned request not updated on the platform", "request", d.Request.String(), "duty", d.Duty.String(), "error", err.Error())
		if d.Duty != call.ClaimTrial {
			c.waiting[d] = time.Now().Add(keepRetryDelay + jitter(keepRetryDelay))
		}
	}
}

// keep writes a request that was condemned by a call of this node, unless it is there.
func (c *Condemned) keep(ctx context.Context, f call.Fingerprint) error {
	known := c.config.Suspects.Evidence(f, time.Now())
	if known.Standing != call.Condemned {
		return nil
	}
	if !c.limiter.Allow() {
		c.config.Sinks.Log.Warn("condemned request not kept, since there are too many", "request", f.String())
		return nil
	}
	err := c.create(ctx, known.Suspicion)
	if errors.Is(err, ErrConflict) {
		return nil // another node has written it
	}
	return err
}

func (c *Condemned) create(ctx context.Context, s call.Suspicion) error {
	body, err := encodeCondemned(s)
	if err != nil {
		return err
	}
	_, err = c.config.Store.Create(ctx, KindCondemned, s.Request.String(), body)
	return errors.Wrap(err, "write condemned request")
}

// claim takes the next trial of a request for this node, unless another node has taken
// it. If the answer of the platform is lost the trial is given up: it may be claimed.
func (c *Condemned) claim(ctx context.Context, f call.Fingerprint) error {
	known, due := c.config.Suspects.TrialDue(f, time.Now())
	if !due {
		return nil
	}
	o, err := c.config.Store.Get(ctx, KindCondemned, f.String())
	switch {
	case errors.Is(err, ErrNotFound):
		known.Trials++
		err = c.create(ctx, known)
	case err != nil:
		return errors.Wrap(err, "read condemned request")
	default:
		held, ok := decodeCondemned(o, time.Now())
		if ok && held.Trials > known.Trials {
			c.config.Suspects.RecordTrials(f, held.Trials, false, time.Now())
			return nil
		}
		known.Trials++
		var body []byte
		if body, err = encodeCondemned(known); err != nil {
			return err
		}
		_, err = c.config.Store.Update(ctx, KindCondemned, o.Name, o.Version, body)
	}
	if errors.Is(err, ErrConflict) {
		return nil // another node claims it
	}
	if err != nil {
		return errors.Wrap(err, "claim trial of condemned request")
	}
	c.config.Suspects.RecordTrials(f, known.Trials, true, time.Now())
	c.config.Sinks.Log.Info("trial claimed", "request", f.String(), "trials", known.Trials)
	return nil
}

// drop deletes what is kept of a request that was answered.
func (c *Condemned) drop(ctx context.Context, f call.Fingerprint) error {
	o, err := c.config.Store.Get(ctx, KindCondemned, f.String())
	if err == nil {
		err = c.config.Store.Delete(ctx, KindCondemned, o.Name, o.Version)
	}
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) {
		return nil // dropped, or condemned again
	}
	return errors.Wrap(err, "delete condemned request")
}

// list returns the objects, which may be seconds old where the platform lists such at less
// cost.
func (c *Condemned) list(ctx context.Context) ([]Object, error) {
	if lister, ok := c.config.Store.(StaleLister); ok {
		return listAllStale(ctx, lister, KindCondemned)
	}
	objs, _, err := ListAll(ctx, c.config.Store, KindCondemned, "")
	return objs, errors.Wrap(err, "list condemned requests")
}

// restore reads the requests that were condemned before this node started.
func (c *Condemned) restore(ctx context.Context) error {
	objs, err := c.list(ctx)
	if err != nil {
		return err
	}
	var kept []call.Suspicion
	for _, o := range objs {
		if s, ok := decodeCondemned(o, time.Now()); ok {
			kept = append(kept, s)
		}
	}
	c.config.Suspects.Restore(kept, time.Now())
	c.config.Sinks.Log.Info("condemned requests read", "requests", len(kept))
	return nil
}

// sweep deletes at one node of the fleet the objects of requests that are not condemned
// there at two sweeps in a row, and those that can't be read.
func (c *Condemned) sweep(ctx context.Context) {
	if !c.config.IsFirst() {
		clear(c.unknown)
		return
	}
	objs, err := c.list(ctx)
	if err != nil {
		c.config.Sinks.Log.Info("condemned requests not read", "error", err.Error())
		return
	}
	before := c.unknown
	c.unknown = map[string]bool{}
	for _, o := range objs {
		s, ok := decodeCondemned(o, time.Now())
		if ok && c.config.Suspects.Standing(s.Request, time.Now()) == call.Condemned {
			continue
		}
		if !before[o.Name] {
			c.unknown[o.Name] = true
			continue
		}
		if err := c.config.Store.Delete(ctx, KindCondemned, o.Name, o.Version); err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrConflict) {
			c.config.Sinks.Log.Info("condemned request not deleted", "request", o.Name, "error", err.Error())
		}
	}
}

func encodeCondemned(s call.Suspicion) ([]byte, error) {
	body := condemnedRequest{Trials: decimal.Whole(s.Trials)}
	for _, e := range s.Ends {
		body.Ends = append(body.Ends, condemnedEnd{Server: strconv.FormatUint(e.Server, 16), Weight: decimal.Whole(e.Weight), Answered: e.Answered})
	}
	encoded, err := json.Marshal(body)
	return encoded, errors.Wrap(err, "encode condemned request")
}

// maxCondemnedBytes bounds the body of a condemned request. It holds a few ends.
const maxCondemnedBytes = 4 << 10

// decodeCondemned returns what an object tells of a request, as if it had been written
// now, and false when the object is deleted or not valid.
func decodeCondemned(o Object, now time.Time) (call.Suspicion, bool) {
	var body condemnedRequest
	f, ok := call.ParseFingerprint(o.Name)
	if !ok || o.Deleted || len(o.Body) > maxCondemnedBytes || json.Unmarshal(o.Body, &body) != nil {
		return call.Suspicion{}, false
	}
	s := call.Suspicion{Request: f, Trials: int(min(body.Trials, math.MaxInt32))}
	if s.Trials > 0 {
		s.TrialAt = now
	}
	for _, e := range body.Ends {
		server, err := strconv.ParseUint(e.Server, 16, 64)
		if err != nil {
			return call.Suspicion{}, false
		}
		s.Ends = append(s.Ends, call.End{Server: server, Weight: int(min(e.Weight, math.MaxInt32)), At: now, Answered: e.Answered})
	}
	return s, len(s.Ends) > 0
}
