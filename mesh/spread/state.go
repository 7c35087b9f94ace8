package spread

// This file defines the state of one node: its configuration, the actions that
// it answers, and the beat that drives it.

import (
	"math/rand/v2"
	"time"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// Config configures a State. Every field but Snapshots, Alone, Head and Rand
// is required.
type Config struct {
	Tree      Tree
	Holder    *revision.Holder
	Beat      time.Duration // of attaching to the parent
	Exchange  time.Duration // of the digest exchange with a random peer
	Snapshots int           // snapshots started within one beat, 8 when zero
	Alone     bool          // no other node is to be joined
	Head      bool          // the owner can read the platform's head
	Patience  time.Duration // for which a child may be behind before it gets a push; zero where pushes are its only way
	Rand      *rand.Rand    // seeded from the clock when nil
}

// ActionKind says what an Action does.
type ActionKind int

// The kinds of actions.
const (
	ActionAttach ActionKind = iota + 1 // send Attach, hand the answer to Attached
	ActionPush                         // send what follows From, hand the answer to Pushed
	ActionFetch                        // send Fetch, hand the answer to Fetched
	ActionHead                         // read the revisions after From on the platform, hand the newest to Headed
)

// Mark is a place in the history of the configuration.
type Mark struct {
	Number uint64
	Digest []byte
}

// Action is one message to another node. Its owner sends it and hands the
// answer back with the action.
type Action struct {
	Kind   ActionKind
	Name   string // instance
	Addr   string // its peer address
	Attach *wire.AttachRequest
	Fetch  *wire.FetchRequest
	From   Mark // where the receiver of a push stands

	child *child
	told  uint64       // revision that an attach tells
	sent  *wire.Report // report that an attach carries
}

// State decides the spread of revisions on one node. It has no locks; its
// owner calls it from one goroutine at a time, with a clock that does not go
// back. Updates are applied to the holder by the owner, who tells by Offered.
type State struct {
	config  Config
	start   time.Time
	shape   *Shape
	actions []Action
	checked int64 // when the head was last known confirmed, Unix ms

	parent   link
	trying   string // parent that an attach is under way to
	tries    int    // parents tried in this beat
	avoid    map[string]avoidance
	children map[string]*child
	memory   memory
	scanned  time.Time // when the memory was last scanned
	floor    floor
	repair   repair
	served   []time.Time // when snapshots were started
	findings []*wire.Finding
}

// New returns the state of a node that starts.
func New(config Config, v *member.View, now time.Time) *State {
	if config.Snapshots == 0 {
		config.Snapshots = 8
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(uint64(now.UnixNano()), RankSeed(v.Self.GetName())))
	}
	s := &State{
		config: config, start: now, shape: config.Tree.Shape(v), avoid: map[string]avoidance{},
		children: map[string]*child{}, memory: memory{},
	}
	s.repair.exchange = now.Add(s.jitter(config.Exchange))
	return s
}

// RankSeed returns a number that differs between instances.
func RankSeed(name string) uint64 { return Tree{}.RankOf(name).Hash }

// Actions returns the actions since the last call.
func (s *State) Actions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// Shape returns the place of the node as of the last tick.
func (s *State) Shape() *Shape { return s.shape }

// Parent returns the name of the present parent, or nothing.
func (s *State) Parent() string { return s.parent.name }

// ParentAddr returns the peer address of the present parent, or nothing.
func (s *State) ParentAddr() string { return s.parent.addr }

// Checked returns when the head was last known to be confirmed by the
// platform, in Unix ms.
func (s *State) Checked() int64 { return s.checked }

// Confirm takes a time at which the head was confirmed, in Unix ms.
func (s *State) Confirm(at int64) { s.checked = max(s.checked, at) }

// Reader tells whether the node reads the platform. While it may still find
// peers to join, it does not.
func (s *State) Reader(now time.Time) bool {
	grace := !s.config.Alone && len(s.shape.View.Names) < 2 && now.Sub(s.start) < joinGrace*s.config.Beat
	return s.shape.Reader && !grace
}

// joinGrace is how many beats a node that knows no other leaves the platform
// alone.
const joinGrace = 3

// Tick takes the present view and time; checked is when the platform last
// confirmed the head to this node, in Unix ms, or 0. It is called once each
// beat, and more often until the floor is known.
func (s *State) Tick(now time.Time, v *member.View, checked int64) {
	if v != s.shape.View {
		s.shape = s.config.Tree.Shape(v)
	}
	s.Confirm(checked)
	if now.Sub(s.scanned) >= memoryScan {
		s.memory.forget(v, now)
		s.scanned = now
	}
	s.expire(now)
	if !s.learnFloor(now, checked) {
		return
	}
	s.tries = 0
	s.renew(now)
	s.pushAll(now)
	s.repairTick(now)
}

// Changed takes a change of the table in force.
func (s *State) Changed(now time.Time) { s.pushAll(now) }

// number returns the revision in force.
func (s *State) number() uint64 { return s.config.Holder.Table().Number }

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// jitter returns a time between three quarters and five quarters of d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.config.Rand.Int64N(int64(d)/2+1))
}

// backoff doubles a beat for each failure, up to 64 beats, with jitter.
func (s *State) backoff(failures int) time.Duration {
	return s.jitter(s.config.Beat << min(failures, 6))
}
