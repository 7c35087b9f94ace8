package spread

// This file defines the state of one node: its configuration, the actions that
// it returns, and the periodic tick that drives it.

import (
	"math/rand/v2"
	"time"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/wire"
)

// Config configures a State. Every field but MaxSnapshots, Standalone,
// CanReadHead, PushDelay, KnownNodes, PlatformAnswers, Usage and Rand is required.
type Config struct {
	Tree              Tree
	Holder            *revision.Holder
	HeartbeatInterval time.Duration         // interval between heartbeats to the parent
	ExchangeInterval  time.Duration         // mean interval between digest exchanges with a random peer
	MaxSnapshots      int                   // maximum number of snapshots started within one heartbeat interval; 0 means 8
	Standalone        bool                  // whether the node has no peers to join
	CanReadHead       bool                  // whether the owner can read the platform's head
	PushDelay         time.Duration         // how long a child may be behind before it gets a push; zero if pushes are its only source
	KnownNodes        func() []*wire.Member // nodes that a starting node may ask though they are not in its view yet; may be nil
	PlatformAnswers   func() bool           // whether the platform answers this node; nil if the node need not know
	Usage             Usage                 // counts the calls of workspaces with a quota; may be nil
	Rand              *rand.Rand            // if nil, seeded from the clock and the instance name
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	ActionAttach   ActionKind = iota + 1 // send Attach and pass the response to [State.HandleAttachResponse]
	ActionPush                           // send the update that follows From and pass the response to [State.HandlePushResponse]
	ActionFetch                          // send Fetch and pass the response to [State.HandleFetchResponse]
	ActionReadHead                       // read the revisions after From on the platform and pass the newest to [State.HandleHead]
)

// Position is a position in the history of the configuration: a revision number
// and the digest of its table.
type Position struct {
	Number uint64
	Digest []byte
}

// Action is a message to another node, or a read of the platform. The owner of
// the State carries it out and passes the response back with the Action.
type Action struct {
	Kind   ActionKind
	Name   string // receiving instance
	Addr   string // its peer address
	Attach *wire.AttachRequest
	Fetch  *wire.FetchRequest
	From   Position // position of the receiver of a push; start of a read of the head

	sentAt         time.Time // of an attach or a fetch
	child          *child
	attachRevision uint64       // revision in an attach request
	attachReport   *wire.Report // report as of an attach request, also if left out of it
}

// State makes the decisions of one node. It is not safe for concurrent use, and
// the times passed to it must not decrease. The owner applies updates to the
// holder and reports the results to [State.HandleApplyResult].
type State struct {
	config      Config
	startedAt   time.Time
	placement   *Placement
	actions     []Action
	confirmedAt int64     // when the head was last confirmed, Unix ms
	currentAt   time.Time // see CurrentAt

	parent         parentLink
	candidate      string // new parent to which an attach is in flight; empty if none
	attachAttempts int    // attach requests to new parents since the last tick
	parentBackoffs map[string]parentBackoff
	children       map[string]*child
	reported       reportedRevisions
	lastPruned     time.Time // when reported was last pruned
	floor          floorDiscovery
	repair         repair
	snapshotTimes  []time.Time // starts of snapshots within the last heartbeat interval
	findings       []*wire.Finding
}

// New returns the State of a node that starts at time now with the view v.
func New(config Config, v *member.View, now time.Time) *State {
	if config.MaxSnapshots == 0 {
		config.MaxSnapshots = 8
	}
	if config.Usage == nil {
		config.Usage = noUsage{}
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(uint64(now.UnixNano()), NameHash(v.Self.GetName())))
	}
	s := &State{
		config: config, startedAt: now, placement: config.Tree.Placement(v), parentBackoffs: map[string]parentBackoff{},
		children: map[string]*child{}, reported: reportedRevisions{},
	}
	s.repair.nextExchange = now.Add(s.jitter(config.ExchangeInterval))
	return s
}

// NameHash returns the hash of an instance name, for use as a random seed that
// differs between instances.
func NameHash(name string) uint64 { return Tree{}.RankOf(name).Hash }

// Actions returns the actions requested since the last call.
func (s *State) Actions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// Placement returns the place of the node in the tree as of the last Tick.
func (s *State) Placement() *Placement { return s.placement }

// Parent returns the name of the current parent, or the empty string.
func (s *State) Parent() string { return s.parent.name }

// ParentAddr returns the peer address of the current parent, or the empty string.
func (s *State) ParentAddr() string { return s.parent.addr }

// ConfirmedAt returns when the platform last confirmed the head, as far as
// known, in Unix ms.
func (s *State) ConfirmedAt() int64 { return s.confirmedAt }

// Confirm records that the platform confirmed the head at a time in Unix ms.
func (s *State) Confirm(at int64) { s.confirmedAt = max(s.confirmedAt, at) }

// ReadsPlatform reports whether the node reads the platform. A node that has
// just started does not, while it may still find peers to join.
func (s *State) ReadsPlatform(now time.Time) bool {
	joining := !s.config.Standalone && len(s.placement.View.Names) < 2 && now.Sub(s.startedAt) < joinGraceHeartbeats*s.config.HeartbeatInterval
	return s.placement.IsReader && !joining
}

// joinGraceHeartbeats is how long a starting node that knows no other member
// does not read the platform, in heartbeat intervals.
const joinGraceHeartbeats = 3

// Tick performs the periodic work with the current view and time. checked is
// when the platform last confirmed the head to this node, in Unix ms, or 0. The
// owner calls Tick once per heartbeat interval, and more often until the floor is
// known.
func (s *State) Tick(now time.Time, v *member.View, checked int64) {
	if v != s.placement.View {
		s.placement = s.config.Tree.Placement(v)
	}
	s.ConfirmOwn(checked, now)
	if now.Sub(s.lastPruned) >= pruneInterval {
		s.reported.prune(v, now)
		s.lastPruned = now
	}
	s.expireChildren(now)
	s.tickUsage(now)
	if !s.discoverFloor(now, checked) {
		return
	}
	s.attachAttempts = 0
	s.renewParent(now)
	s.pushAll(now)
	s.repairTick(now)
}

// HandleTableChange notifies the state that the table in force has changed.
func (s *State) HandleTableChange(now time.Time) { s.pushAll(now) }

// number returns the revision in force.
func (s *State) number() uint64 { return s.config.Holder.Table().Number }

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// jitter returns a random duration between three quarters and five quarters of d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.config.Rand.Int64N(int64(d)/2+1))
}

// backoff returns the heartbeat interval doubled for each failure, up to 64
// intervals, with jitter.
func (s *State) backoff(failures int) time.Duration {
	return s.jitter(s.config.HeartbeatInterval << min(failures, 6))
}
