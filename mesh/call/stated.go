package call

// This file defines how entry nodes remember what a backend server has stated, for the
// gate beside it. A gate that restarts has heard nothing, while its server may long have
// named a limit, or said that it leaves, to callers of other nodes. So a gate adds what
// it knows to its answers, and an entry node sends it back with its calls there.

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Stated is what an incarnation of a backend server has stated in its answers.
type Stated struct {
	Server  string // name of the incarnation
	Epoch   uint64 // of the incarnation; zero when it is not known
	Limit   NamedLimit
	Leaving bool
}

const (
	statedNone    = "-"
	statedLeaving = "leaving"
)

// Format returns the value of HeaderStated: epoch, limit, "leaving" and server, separated
// by slashes, with "-" for what was not stated. It returns "" if nothing was.
func (s Stated) Format() string {
	if !s.Limit.Named && !s.Leaving {
		return ""
	}
	limit, leaving := statedNone, statedNone
	if s.Limit.Named {
		limit = strconv.FormatFloat(s.Limit.Rate, 'g', -1, 64)
	}
	if s.Leaving {
		leaving = statedLeaving
	}
	return strconv.FormatUint(s.Epoch, 10) + "/" + limit + "/" + leaving + "/" + s.Server
}

// ParseStated parses the value of HeaderStated. It returns the zero Stated when the
// value is invalid.
func ParseStated(text string) Stated {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) != 4 {
		return Stated{}
	}
	s := Stated{Server: parts[3], Leaving: parts[2] == statedLeaving}
	var err error
	if s.Epoch, err = strconv.ParseUint(parts[0], 10, 64); err != nil {
		return Stated{}
	}
	if parts[1] != statedNone {
		limit, err := strconv.ParseFloat(parts[1], 64)
		if err != nil || !(limit >= 0) {
			return Stated{}
		}
		s.Limit = NamedLimit{Rate: limit, Named: true}
	}
	return s
}

// Concerns reports whether it was stated by the given incarnation. An incarnation whose
// epoch is not known may be any one of the name.
func (s Stated) Concerns(server string, epoch uint64) bool {
	return server != "" && s.Server == server && (s.Epoch == epoch || epoch == 0)
}

// Memory holds what an entry node has last heard from the gate of one instance about its
// backend server. Its methods may be called concurrently.
type Memory struct{ heard atomic.Pointer[memory] }

type memory struct {
	stated Stated
	at     time.Time
}

// Stated returns what was last heard; the zero Stated if nothing was, or if it has ended.
func (m *Memory) Stated() Stated {
	if h := m.heard.Load(); h != nil {
		return h.stated
	}
	return Stated{}
}

// Age returns how long ago something was last heard, and false if nothing holds.
func (m *Memory) Age(now time.Time) (time.Duration, bool) {
	h := m.heard.Load()
	if h == nil {
		return 0, false
	}
	return now.Sub(h.at), true
}

// Record records what came with the answer to a call that was sent at sentAt. That the
// server states nothing any more follows only from an answer of its own (served) to a
// call that was sent after it was last heard to.
func (m *Memory) Record(s Stated, served bool, sentAt, now time.Time) {
	h := m.heard.Load()
	switch {
	case !s.Limit.Named && !s.Leaving:
		if h != nil && served && sentAt.After(h.at) {
			m.heard.CompareAndSwap(h, nil)
		}
	case h != nil && h.stated.Leaving && !s.Leaving && s.Concerns(h.stated.Server, h.stated.Epoch):
		// It is an answer from before the server said that it leaves.
	default:
		m.heard.Store(&memory{s, now})
	}
}
