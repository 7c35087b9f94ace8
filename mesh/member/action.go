package member

// This file defines the actions that an agent asks for.

import (
	"time"

	"caroblift.dev/wire"
)

// Kind says what an action is for.
type Kind int

// The kinds of action.
const (
	Beat   Kind = iota // heartbeat; its outcome goes to ProbeDone
	Fresh              // heartbeat on a new connection; outcome to ProbeDone
	Relay              // asks another node for a heartbeat; outcome to ProbeDone
	News               // events only; a failure means nothing
	Sync               // compares tables; outcome to SyncDone
	Return             // hands over what the other did not know
	Join               // outcome to JoinDone
	Meet               // reads the meeting points on the platform; outcome to MeetDone
)

// Action is a message that the agent wants sent.
type Action struct {
	Kind  Kind
	Name  string // member concerned; empty when unknown
	Addr  string // IP:port that the message goes to
	At    time.Time
	Probe *wire.ProbeRequest
	Sync  *wire.SyncRequest
	Join  *wire.JoinRequest
}
