package member

// This file defines the messages that an agent asks its owner to send.

import (
	"time"

	"caroblift.dev/wire"
)

// Kind is the purpose of an action and selects the message it carries.
type Kind int

// The kinds of action.
const (
	Beat   Kind = iota // periodic probe; report the outcome to ProbeDone
	Fresh              // probe on a new connection; report the outcome to ProbeDone
	Relay              // indirect probe through another node; report the outcome to ProbeDone
	News               // probe request that only carries events; its outcome is ignored
	Sync               // anti-entropy comparison of tables; report the outcome to SyncDone
	Return             // sends the peer what a Sync showed it to lack; its outcome is ignored
	Join               // asks a node for its table; report the outcome to JoinDone
	Meet               // reads the meeting points from the platform; report the outcome to MeetDone
)

// Action is a message for the owner of an agent to send. Of Probe, Sync and Join,
// the one that belongs to Kind is set.
type Action struct {
	Kind  Kind
	Name  string    // member that the action is about; empty when unknown
	Addr  string    // destination as IP:port
	At    time.Time // when the agent issued the action
	Probe *wire.ProbeRequest
	Sync  *wire.SyncRequest
	Join  *wire.JoinRequest
}
