package backend

// This file decides which announcement of the backend server is in force.

import (
	"net"
	"net/netip"
	"time"

	"caroblift.dev/mesh/record"
)

// place names announcements in findings.
const place = "announcement"

const (
	maxSlots   = 10000 // calls in progress at one server
	maxService = 253   // bytes of a service name
)

// Announcement is what a backend server says of itself with PUT /announce.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"` // IP:port on this instance
	Slots   int    `json:"slots"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Epoch   uint64 `json:"epoch"` // grows when the server restarts
	Name    string `json:"name"`  // of the server's present life; may be empty
	Seq     uint64 `json:"seq"`   // grows with each announcement of a named life
}

// sameLife tells whether two announcements are of one life of a named server.
func (in *Announcement) sameLife(o *Announcement) bool {
	return in != nil && o != nil && in.Name != "" && in.Name == o.Name && in.Epoch == o.Epoch
}

// check returns everything that is wrong with an announcement. A server must be
// on the node's own instance: whoever may announce could otherwise send calls
// anywhere.
func (in *Announcement) check(local func(host string) bool) record.Findings {
	var f record.Findings
	switch {
	case in.Service == "":
		f.Add(place, "service", "must not be empty")
	case len(in.Service) > maxService:
		f.Add(place, "service", "is longer than 253 bytes")
	}
	addr, err := netip.ParseAddrPort(in.Address)
	switch {
	case err != nil:
		f.Add(place, "address", "is not an IP:port")
	case addr.Port() == 0:
		f.Add(place, "address", "has no port")
	case !addr.Addr().IsLoopback() && (local == nil || !local(addr.Addr().String())):
		f.Add(place, "address", addr.Addr().String()+" is neither loopback nor an address of this instance")
	}
	if in.Slots < 1 || in.Slots > maxSlots {
		f.Add(place, "slots", "must be from 1 to 10000")
	}
	return f
}

// Hosts returns whether a host is among those of listen addresses.
func Hosts(listen ...string) func(host string) bool {
	hosts := map[string]bool{}
	for _, l := range listen {
		if host, _, err := net.SplitHostPort(l); err == nil {
			hosts[host] = true
		}
	}
	return func(host string) bool { return hosts[host] }
}

// Damping of a server that comes and goes.
const (
	flapWindow = 30 * time.Second
	maxFlaps   = 3 // appearances in the window that take effect at once
)

// lease decides which announcement is in force. It takes renewals and the time,
// and reads no clock. A server that appears more often than a few times in half
// a minute waits; that it leaves or lapses takes effect at once.
type lease struct {
	term     time.Duration
	last     *Announcement // newest that was taken; nil when it lapsed
	seen     time.Time
	inForce  *Announcement // as handed over
	epoch    uint64        // newest life of the server seen at its address
	addr     string
	appeared []time.Time       // appearances within the window
	flaps    int               // appearances that take effect at once; zero means maxFlaps
	ended    map[string]uint64 // epoch of the last life of a named server that said it is gone
}

// renew takes an announcement. It returns false for one of an earlier life of
// the server at the same address.
func (l *lease) renew(in *Announcement, now time.Time) bool {
	if in.Address == l.addr && in.Epoch < l.epoch {
		return false
	}
	if epoch, ok := l.ended[in.Name]; ok && in.Epoch <= epoch {
		return false
	}
	if in.sameLife(l.last) {
		if in.Seq < l.last.Seq {
			return false
		}
		if l.last.Leaving && !in.Leaving { // leaving is final
			left := *in
			left.Leaving = true
			in = &left
		}
	}
	l.addr, l.epoch = in.Address, in.Epoch
	l.last, l.seen = in, now
	return true
}

// maxEnded bounds the lives that are remembered as gone.
const maxEnded = 64

// end takes that a life of a named server is gone. The server still finishes
// what it has begun, so a held announcement stays, as leaving.
func (l *lease) end(name string, epoch uint64) {
	if l.last != nil && l.last.Name == name && epoch < l.last.Epoch && epoch != 0 {
		return // of an earlier life
	}
	if l.last != nil && l.last.Name == name {
		left := *l.last
		left.Leaving, epoch = true, max(epoch, l.last.Epoch)
		l.last = &left
	}
	if l.ended == nil || len(l.ended) >= maxEnded {
		l.ended = map[string]uint64{}
	}
	l.ended[name] = max(epoch, l.ended[name])
}

// effect returns the announcement that is to be in force, and whether that is a
// change.
func (l *lease) effect(now time.Time) (*Announcement, bool) {
	if l.last != nil && now.Sub(l.seen) > l.term {
		if l.last.Leaving && l.last.Name != "" {
			l.end(l.last.Name, l.last.Epoch) // a late announcement must not bring it back
		}
		l.last = nil
	}
	next := l.last
	if next != nil && l.appears(next) && !l.settled(now) {
		next = nil
		if l.inForce == nil {
			return nil, false
		}
	}
	if same(next, l.inForce) {
		return l.inForce, false
	}
	if next != nil && l.appears(next) {
		l.appeared = append(l.appeared, now)
	}
	l.inForce = next
	return next, true
}

// appears tells whether an announcement is of a server that is not in force: a
// new one, another service, or another life.
func (l *lease) appears(a *Announcement) bool {
	o := l.inForce
	return o == nil || o.Service != a.Service || o.Address != a.Address || o.Epoch != a.Epoch || o.Name != a.Name
}

// settled tells whether a server may appear now.
func (l *lease) settled(now time.Time) bool {
	for len(l.appeared) > 0 && now.Sub(l.appeared[0]) >= flapWindow {
		l.appeared = l.appeared[1:]
	}
	most := l.flaps
	if most == 0 {
		most = maxFlaps
	}
	return len(l.appeared) < most
}

func same(a, b *Announcement) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.Seq, y.Seq = 0, 0
	return x == y
}
