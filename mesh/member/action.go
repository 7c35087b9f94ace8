package member

// This file defines the messages that an agent asks its owner to send.

import (
	"time"

	"caroblift.dev/wire"
)

// ActionKind is the purpose of an action and selects the message it carries.
type ActionKind int

// The kinds of action.
const (
	Heartbeat      ActionKind = iota // periodic probe; report the outcome to ProbeDone
	FreshProbe                       // probe on a new connection; report the outcome to ProbeDone
	IndirectProbe                    // indirect probe through another node; report the outcome to ProbeDone
	Gossip                           // probe request that only carries events; its outcome is ignored
	Sync                             // anti-entropy comparison of tables; report the outcome to SyncDone
	SyncPush                         // sends the peer what a Sync showed it to lack; its outcome is ignored
	Join                             // asks a node for its table; report the outcome to JoinDone
	Discover                         // reads the meeting points from the platform; report the outcome to DiscoverDone
	DiscoverFleets                   // as Discover, by a node that has joined; what is read may be seconds old
)

// Action is a message for the owner of an agent to send. Of Probe, Sync and Join,
// the one that belongs to Kind is set.
type Action struct {
	Kind     ActionKind
	Name     string    // member that the action is about; empty when unknown
	Addr     string    // destination as IP:port
	IssuedAt time.Time // when the agent issued the action
	Probe    *wire.ProbeRequest
	Sync     *wire.SyncRequest
	Join     *wire.JoinRequest
}
