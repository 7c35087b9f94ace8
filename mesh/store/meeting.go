package store

// This file keeps meeting points on the platform: a few objects in each failure
// domain that name a node to join by when no seed answers.

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// KindMember is the kind of the objects that are meeting points.
const KindMember = "member"

// How long a meeting point holds without renewal, and how often it is renewed.
const (
	meetingLease = 90 * time.Second
	meetingRenew = 30 * time.Second
)

// MeetingConfig configures a Meeting. Every field but Sinks is required.
type MeetingConfig struct {
	Store  Store
	Self   func() *wire.Member
	Active func() bool // whether this node keeps a meeting point now
	Places int         // meeting points of each failure domain
	Sinks  telemetry.Sinks
}

// Meeting reads the meeting points and keeps one while its node is active. The
// number of objects is constant for each failure domain. Safety does not rest
// on the lease: a meeting point that names the wrong node costs one attempt.
type Meeting struct {
	config MeetingConfig
	name   string // object that this node keeps, or empty
	held   uint64 // its version
}

// point is the body of a meeting point.
type point struct {
	Name string `json:"name"`
	Peer string `json:"peer"` // IP:port
	Time int64  `json:"time"` // of the last renewal, Unix ms
}

// NewMeeting returns a meeting.
func NewMeeting(config MeetingConfig) *Meeting {
	config.Sinks = config.Sinks.OrDiscard()
	return &Meeting{config: config}
}

// Read returns the members that the meeting points name, in one call.
func (m *Meeting) Read(ctx context.Context) ([]*wire.Member, error) {
	objs, _, _, err := m.config.Store.List(ctx, KindMember, "")
	if err != nil {
		return nil, errors.Wrap(err, "list meeting points")
	}
	var out []*wire.Member
	for _, o := range objs {
		if p, ok := decodePoint(o); ok {
			out = append(out, &wire.Member{Name: p.Name, Peer: p.Peer})
		}
	}
	return out, nil
}

func decodePoint(o Object) (point, bool) {
	var p point
	err := json.Unmarshal(o.Body, &p)
	return p, err == nil && !o.Deleted && p.Peer != ""
}

// Run keeps a meeting point while the node is active.
func (m *Meeting) Run(ctx context.Context) error {
	var retry backoff
	for ctx.Err() == nil {
		if !m.config.Active() {
			pause(ctx, retryDelay)
			continue
		}
		wait := meetingRenew
		if err := m.keep(ctx); err == nil {
			retry.reset()
		} else if ctx.Err() == nil {
			m.config.Sinks.Log.Info("keep meeting point", "error", err.Error())
			wait = max(retry.next(err), time.Second)
		}
		pause(ctx, wait)
	}
	return nil
}

// keep renews the meeting point of this node, or takes one that lapsed.
func (m *Meeting) keep(ctx context.Context) error {
	if m.name != "" {
		o, err := m.config.Store.Update(ctx, KindMember, m.name, m.held, m.body())
		if err == nil {
			m.held = o.Version
			return nil
		}
		m.name = "" // lost, or the answer was: look again
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnknown) {
			return errors.Wrap(err, "renew meeting point")
		}
	}
	objs, _, _, err := m.config.Store.List(ctx, KindMember, "")
	if err != nil {
		return errors.Wrap(err, "list meeting points")
	}
	return m.take(ctx, objs)
}

// take writes to a place of the own failure domain that is free or lapsed, or
// that an earlier life of this node keeps.
func (m *Meeting) take(ctx context.Context, objs []Object) error {
	self := m.config.Self()
	places := map[string]Object{}
	for _, o := range objs {
		places[o.Name] = o
	}
	free := ""
	for i := range m.config.Places {
		name := strings.ReplaceAll(self.GetDomain(), "/", "-") + "." + strconv.Itoa(i)
		p, ok := decodePoint(places[name])
		if ok && p.Name == self.GetName() {
			return m.write(ctx, name, places[name].Version)
		}
		if free == "" && (!ok || time.Now().UnixMilli()-p.Time > meetingLease.Milliseconds()) {
			free = name
		}
	}
	if free == "" {
		return nil
	}
	return m.write(ctx, free, places[free].Version)
}

func (m *Meeting) write(ctx context.Context, name string, version uint64) error {
	var o Object
	var err error
	if version == 0 {
		o, err = m.config.Store.Create(ctx, KindMember, name, m.body())
	} else {
		o, err = m.config.Store.Update(ctx, KindMember, name, version, m.body())
	}
	if errors.Is(err, ErrConflict) {
		return nil // another node was faster
	}
	if err != nil {
		return errors.Wrapf(err, "write meeting point %s", name)
	}
	m.name = name
	m.held = o.Version
	return nil
}

func (m *Meeting) body() []byte {
	self := m.config.Self()
	data, err := json.Marshal(point{Name: self.GetName(), Peer: self.GetPeer(), Time: time.Now().UnixMilli()})
	if err != nil {
		panic(err) // strings and a number always encode
	}
	return data
}
