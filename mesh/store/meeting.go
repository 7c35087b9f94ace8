package store

// This file keeps meeting points on the platform: objects that name nodes to
// join by when no seed answers.

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// KindMember is the kind of the objects that are meeting points.
const KindMember = "member"

// How often a node looks after the meeting points: after its start, and from
// then on.
const (
	meetingSoon  = 30 * time.Second
	meetingEvery = 2 * time.Minute
)

// MeetingConfig configures a Meeting. Every field but Sinks is required.
type MeetingConfig struct {
	Store  Store
	Self   func() *wire.Member
	Alive  func(name string) bool // whether a node is a member as far as known
	Known  func() bool            // whether the members are known
	Places int                    // meeting points of each failure domain
	Sinks  telemetry.Sinks
}

// Meeting reads the meeting points and keeps that of its node. Each node writes
// one when it starts, unless its failure domain has enough of them, and renews
// nothing: a point that names a node that is gone costs a joiner one attempt,
// until a node that knows the members removes it.
type Meeting struct {
	config MeetingConfig

	mu     sync.Mutex
	listed map[string]Object // points as last read, by object name
}

// point is the body of a meeting point.
type point struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Peer   string `json:"peer"` // IP:port
}

// NewMeeting returns a meeting.
func NewMeeting(config MeetingConfig) *Meeting {
	config.Sinks = config.Sinks.OrDiscard()
	return &Meeting{config: config}
}

// Read returns the members that the meeting points name, in one call for each
// page.
func (m *Meeting) Read(ctx context.Context) ([]*wire.Member, error) {
	objs, _, err := ListAll(ctx, m.config.Store, KindMember, "")
	if err != nil {
		return nil, errors.Wrap(err, "list meeting points")
	}
	listed := make(map[string]Object, len(objs))
	var out []*wire.Member
	for _, o := range objs {
		listed[o.Name] = o
		if p, ok := decodePoint(o); ok {
			out = append(out, &wire.Member{Name: p.Name, Domain: p.Domain, Peer: p.Peer})
		}
	}
	m.mu.Lock()
	m.listed = listed
	m.mu.Unlock()
	return out, nil
}

func decodePoint(o Object) (point, bool) {
	var p point
	err := json.Unmarshal(o.Body, &p)
	return p, err == nil && !o.Deleted && p.Peer != "" && p.Name != ""
}

// Run writes the meeting point of this node and removes those of nodes that
// are gone, until the context ends.
func (m *Meeting) Run(ctx context.Context) error {
	var retry backoff
	wait := meetingSoon
	for ctx.Err() == nil {
		err := m.keep(ctx)
		if err == nil {
			retry.reset()
			pause(ctx, wait+jitter(wait/2))
			wait = meetingEvery
			continue
		}
		if ctx.Err() == nil {
			m.config.Sinks.Log.Info("keep meeting point", "error", err.Error())
		}
		pause(ctx, retry.next(err))
	}
	return nil
}

// keep writes the meeting point of this node if it is needed, and removes one
// of a node that is gone.
func (m *Meeting) keep(ctx context.Context) error {
	if _, err := m.Read(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	listed := m.listed
	m.mu.Unlock()
	if err := m.write(ctx, listed); err != nil {
		return err
	}
	return m.sweep(ctx, listed)
}

// write puts this node's point where it belongs, unless that is there already
// or the failure domain has enough others.
func (m *Meeting) write(ctx context.Context, listed map[string]Object) error {
	self := m.config.Self()
	want := point{Name: self.GetName(), Domain: self.GetDomain(), Peer: self.GetPeer()}
	body, err := json.Marshal(want)
	if err != nil {
		return errors.Wrap(err, "encode meeting point")
	}
	name := strings.ReplaceAll(want.Name, "/", "-")
	old, exists := listed[name]
	if p, ok := decodePoint(old); exists && ok && p == want {
		return nil
	}
	others := 0
	for _, o := range listed {
		if p, ok := decodePoint(o); ok && p.Domain == want.Domain && p.Name != want.Name {
			others++
		}
	}
	switch {
	case exists:
		_, err = m.config.Store.Update(ctx, KindMember, name, old.Version, body)
	case others >= m.config.Places:
		return nil
	default:
		_, err = m.config.Store.Create(ctx, KindMember, name, body)
	}
	return errors.Wrapf(err, "write meeting point %s", name)
}

// sweep removes the point of one node that is gone. Only the first living node
// by name does it, so that a fleet does not do it all at once; when its view is
// wrong, the node writes its point again.
func (m *Meeting) sweep(ctx context.Context, listed map[string]Object) error {
	if !m.config.Known() {
		return nil
	}
	names := make([]string, 0, len(listed))
	for name := range listed {
		names = append(names, name)
	}
	slices.Sort(names)
	self, first := m.config.Self().GetName(), ""
	var gone *Object
	for _, name := range names {
		o := listed[name]
		p, ok := decodePoint(o)
		switch {
		case ok && m.config.Alive(p.Name):
			if first == "" {
				first = p.Name
			}
		case gone == nil:
			gone = &o
		}
	}
	if gone == nil || first != self {
		return nil
	}
	err := m.config.Store.Delete(ctx, KindMember, gone.Name, gone.Version)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) {
		return nil // its node is back, or it is removed already
	}
	return errors.Wrapf(err, "remove meeting point %s", gone.Name)
}
