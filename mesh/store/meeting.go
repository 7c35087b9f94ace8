package store

// This file maintains meeting points on the platform: objects that name nodes
// through which others can join when no seed responds.

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/netip"
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

// Intervals between two checks of the meeting points.
const (
	firstMeetingInterval = 30 * time.Second // after the first check
	meetingInterval      = 2 * time.Minute  // after each later one
)

// Looker is implemented by stores that answer a look at an object at little cost, from
// a copy that may be old. The answer tells the era of the platform, nothing else.
type Looker interface {
	Look(ctx context.Context, kind, name string) error
}

// StaleLister is implemented by stores that list objects at little cost from a copy that
// may be seconds old. Its method is like Store.List, but returns no version.
type StaleLister interface {
	ListStale(ctx context.Context, kind, after string) (objects []Object, more bool, err error)
}

// listAllStale lists all objects of a kind, as they were some seconds ago.
func listAllStale(ctx context.Context, lister StaleLister, kind string) ([]Object, error) {
	var all []Object
	for after, more := "", true; more; {
		objs, next, err := lister.ListStale(ctx, kind, after)
		if err != nil {
			return nil, errors.Wrapf(err, "list objects of kind %s", kind)
		}
		all = append(all, objs...)
		more = next && advance(&after, objs)
	}
	return all, nil
}

// MeetingPointsConfig configures a MeetingPoints. Every field but Eras, Looker and Sinks
// is required.
type MeetingPointsConfig struct {
	Store           Store
	Self            func() *wire.Member
	IsAlive         func(name string) bool // whether a node is a live member, as known to this node
	MembersKnown    func() bool            // whether this node knows the members of the fleet
	PointsPerDomain int                    // wanted number of meeting points in each failure domain
	Eras            *Eras                  // of the platform; nil if it has none
	Looker          Looker                 // nil if the platform has no eras, or no such look
	Reachable       func() bool            // whether the platform answered the node's last other call; required with Looker
	Sinks           telemetry.Sinks
}

// MeetingPoints reads the meeting points and maintains that of its node. Each
// node writes one when it starts, unless its failure domain has enough of them.
// Points are not renewed: one that names a dead node costs a joiner one
// attempt, until a node that knows the members deletes it.
//
// When the platform comes back from an older copy, points may be gone. The nodes
// that had one, few in each failure domain, look for theirs and write it again.
type MeetingPoints struct {
	config MeetingPointsConfig
	owns   bool      // whether this node's point is on the platform, or may be; used by Run only
	usedAt time.Time // when Run last used a list; used by Run only

	mu       sync.Mutex
	listed   map[string]Object // objects as last read, by name
	listedAt time.Time
}

// meetingPoint is the JSON body of a meeting point.
type meetingPoint struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Peer   string `json:"peer"` // IP:port
}

// NewMeetingPoints returns a MeetingPoints; Run starts the maintenance.
func NewMeetingPoints(config MeetingPointsConfig) *MeetingPoints {
	config.Sinks = config.Sinks.WithDefaults()
	return &MeetingPoints{config: config}
}

// Read returns the members that the meeting points name. It makes one call for
// each page.
func (m *MeetingPoints) Read(ctx context.Context) ([]*wire.Member, error) {
	objs, _, err := ListAll(ctx, m.config.Store, KindMember, "")
	if err != nil {
		return nil, errors.Wrap(err, "list meeting points")
	}
	listed := make(map[string]Object, len(objs))
	for _, o := range objs {
		listed[o.Name] = o
	}
	m.setListed(listed)
	return m.Listed(), nil
}

func (m *MeetingPoints) setListed(listed map[string]Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed, m.listedAt = listed, time.Now()
}

// sharedListTime is how long a starting node's search for others uses what the
// maintenance has read. Both begin at the start.
const sharedListTime = 200 * time.Millisecond

// ReadShared is like Read, but makes no call if the meeting points were read just now.
func (m *MeetingPoints) ReadShared(ctx context.Context) ([]*wire.Member, error) {
	if m.listAge() <= sharedListTime {
		return m.Listed(), nil
	}
	return m.Read(ctx)
}

// ReadStale is like Read, but what it reads may be seconds old if the store lists such
// objects at less cost.
func (m *MeetingPoints) ReadStale(ctx context.Context) ([]*wire.Member, error) {
	lister, ok := m.config.Store.(StaleLister)
	if !ok {
		return m.Read(ctx)
	}
	objs, err := listAllStale(ctx, lister, KindMember)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]Object, len(objs))
	for _, o := range objs {
		listed[o.Name] = o
	}
	m.setListed(listed)
	return m.Listed(), nil
}

// listAge returns the time since the meeting points were read.
func (m *MeetingPoints) listAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt.IsZero() {
		return math.MaxInt64
	}
	return time.Since(m.listedAt)
}

// Listed returns the members that the meeting points named when they were last
// read, in name order, or nil before that.
func (m *MeetingPoints) Listed() []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.Member
	for _, name := range slices.Sorted(maps.Keys(m.listed)) {
		if p, ok := decodePoint(m.listed[name]); ok {
			out = append(out, &wire.Member{Name: p.Name, Domain: p.Domain, Peer: p.Peer})
		}
	}
	return out
}

// maxPointBytes bounds the body of a meeting point. It holds two names and an address.
const maxPointBytes = 4 << 10

// decodePoint returns the meeting point that an object holds, and false when the
// object is deleted or not valid. Another writer may have written it.
func decodePoint(o Object) (meetingPoint, bool) {
	var p meetingPoint
	if o.Deleted || len(o.Body) > maxPointBytes || json.Unmarshal(o.Body, &p) != nil {
		return meetingPoint{}, false
	}
	addr, err := netip.ParseAddrPort(p.Peer)
	return p, err == nil && addr.Port() != 0 && p.Name != ""
}

// Run writes the meeting point of this node and deletes those of dead nodes,
// until the context ends.
func (m *MeetingPoints) Run(ctx context.Context) error {
	var retry backoff
	wait, fresh := firstMeetingInterval, true
	for ctx.Err() == nil {
		rose := m.config.Eras.Rose()
		err := m.maintain(ctx, fresh)
		if err == nil {
			retry.reset()
			fresh = m.pauseUnlessLost(ctx, rose, wait+jitter(wait/2))
			wait = meetingInterval
			continue
		}
		fresh = true
		if ctx.Err() == nil {
			m.config.Sinks.Log.Info("meeting point not maintained", "error", err.Error())
		}
		if m.owns {
			retry.initial, retry.limit = initialRetryDelay, rewriteSpread // few nodes
		}
		pause(ctx, retry.nextDelay(err))
	}
	return nil
}

// maxListAge is the age up to which the maintenance uses a list that the node has read
// meanwhile for another purpose. A node that has joined reads one some seconds after its start, which
// serves the first check after it.
const maxListAge = 2 * firstMeetingInterval

// rewriteSpread is the time over which the nodes of a fleet look for their meeting
// points after the platform came back from an older copy, and the longest delay
// between their attempts. Together with the longest delay until a node reaches the
// platform again it is about 2 s.
const rewriteSpread = time.Second

// pauseUnlessLost waits for d, until the context ends, or for a part of
// rewriteSpread after the era rises if the meeting point of this node may be lost, which
// it reports.
func (m *MeetingPoints) pauseUnlessLost(ctx context.Context, rose <-chan struct{}, d time.Duration) (lost bool) {
	if !m.owns {
		rose = nil
	}
	timer, ticker := time.NewTimer(d), time.NewTicker(lookInterval)
	defer timer.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-ticker.C:
			m.look(ctx)
		case <-rose:
			m.config.Sinks.Log.Info("looking for own meeting point after the platform came back", "era", m.config.Eras.State().Current)
			pause(ctx, jitter(rewriteSpread))
			return true
		}
	}
}

// lookInterval is the longest time without an answer of the platform for a node whose
// meeting point may be lost. A watch that the platform neither answers nor ends at its
// return would let the node hear of it only when its wait is over.
const lookInterval = time.Second

// look asks the platform for its era if it has not answered for lookInterval, unless other
// calls of the node fail: those are made again soon.
func (m *MeetingPoints) look(ctx context.Context) {
	if !m.owns || m.config.Looker == nil || !m.config.Reachable() || m.config.Eras.SinceHeard() < lookInterval {
		return
	}
	name := pointName(m.config.Self().GetName())
	if err := m.config.Looker.Look(ctx, KindMember, name); err != nil && ctx.Err() == nil {
		m.config.Sinks.Log.Info("no answer to a look at the own meeting point", "error", err.Error())
	}
}

// pointName returns the name of the object that is a node's meeting point.
func pointName(node string) string { return strings.ReplaceAll(node, "/", "-") }

// maintain writes the meeting point of this node if it is needed, and deletes
// that of at most one dead node. Unless a fresh list is asked for, it uses one that was
// read since the last time: the conditions of its writes hold also if that is old.
func (m *MeetingPoints) maintain(ctx context.Context, fresh bool) error {
	if age := m.listAge(); fresh || age > maxListAge || age >= time.Since(m.usedAt) {
		if _, err := m.Read(ctx); err != nil {
			return err
		}
	}
	m.usedAt = time.Now()
	m.mu.Lock()
	listed := m.listed
	m.mu.Unlock()
	if err := m.writeOwn(ctx, listed); err != nil {
		return err
	}
	return m.deleteDead(ctx, listed)
}

// writeOwn creates or updates this node's meeting point. It writes nothing when
// the point is up to date, or when there is none and the failure domain has
// enough others.
func (m *MeetingPoints) writeOwn(ctx context.Context, listed map[string]Object) error {
	self := m.config.Self()
	want := meetingPoint{Name: self.GetName(), Domain: self.GetDomain(), Peer: self.GetPeer()}
	body, err := json.Marshal(want)
	if err != nil {
		return errors.Wrap(err, "encode meeting point")
	}
	name := pointName(want.Name)
	old, exists := listed[name]
	if p, ok := decodePoint(old); exists && ok && p == want {
		m.owns = true
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
		m.owns = true
		_, err = m.config.Store.Update(ctx, KindMember, name, old.Version, body)
	case others >= m.config.PointsPerDomain:
		m.owns = false
		return nil
	default:
		m.owns = true // also if the write gets no answer
		_, err = m.config.Store.Create(ctx, KindMember, name, body)
	}
	return errors.Wrapf(err, "write meeting point %s", name)
}

// deleteDead deletes the meeting point of one dead node. Only the first live
// node in name order does so, to keep the whole fleet from doing it at once. A
// node that is deleted although it is alive writes its point again.
func (m *MeetingPoints) deleteDead(ctx context.Context, listed map[string]Object) error {
	if !m.config.MembersKnown() {
		return nil
	}
	names := make([]string, 0, len(listed))
	for name := range listed {
		names = append(names, name)
	}
	slices.Sort(names)
	self, firstAlive := m.config.Self().GetName(), ""
	var dead *Object
	for _, name := range names {
		o := listed[name]
		p, ok := decodePoint(o)
		switch {
		case ok && m.config.IsAlive(p.Name):
			if firstAlive == "" {
				firstAlive = p.Name
			}
		case dead == nil:
			dead = &o
		}
	}
	if dead == nil || firstAlive != self {
		return nil
	}
	err := m.config.Store.Delete(ctx, KindMember, dead.Name, dead.Version)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) {
		return nil // its node is back, or the object is already deleted
	}
	return errors.Wrapf(err, "delete meeting point %s", dead.Name)
}
