package backend

// This file decides which announcement of the backend server is in force. An
// incarnation of a server is one run of its process, identified by name and
// epoch.

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"caroblift.dev/mesh/record"
)

// findingPlace is the place given in findings about announcements.
const findingPlace = "announcement"

const (
	maxSlots        = 10000 // of one server
	maxServiceBytes = 253   // of a service name
	maxVersionBytes = 253
	maxNameBytes    = 253
)

// Announcement is the state that a backend server reports about itself with
// PUT /announce.
type Announcement struct {
	Service string `json:"service"`
	Address string `json:"address"` // IP:port on this instance
	Slots   int    `json:"slots"`
	Cold    bool   `json:"cold"`
	Leaving bool   `json:"leaving"`
	Epoch   uint64 `json:"epoch"`   // increases with each restart of the server
	Name    string `json:"name"`    // of the server's current incarnation; may be empty
	Seq     uint64 `json:"seq"`     // increases with each announcement of a named incarnation
	Version string `json:"version"` // of the server's software; may be empty
	// RunningMS is how long the server has been running, in ms; zero when it doesn't say.
	RunningMS int64 `json:"running"`

	found bool // the node found the server, which has not announced itself yet
}

// sameIncarnation reports whether two announcements come from the same
// incarnation of a named server. It is false when either is nil or has no name.
func (in *Announcement) sameIncarnation(o *Announcement) bool {
	return in != nil && o != nil && in.Name != "" && in.Name == o.Name && in.Epoch == o.Epoch
}

// validate returns every fault of an announcement. The address must be on the
// node's own instance, since anyone who may announce could otherwise direct
// calls to any host.
func (in *Announcement) validate(isLocal func(host string) bool) record.Findings {
	var f record.Findings
	switch {
	case in.Service == "":
		f.Add(findingPlace, "service", "must not be empty")
	case len(in.Service) > maxServiceBytes:
		f.Add(findingPlace, "service", "is longer than 253 bytes")
	}
	addr, err := netip.ParseAddrPort(in.Address)
	switch {
	case err != nil:
		f.Add(findingPlace, "address", "is not an IP:port")
	case addr.Port() == 0:
		f.Add(findingPlace, "address", "has no port")
	case !addr.Addr().IsLoopback() && (isLocal == nil || !isLocal(addr.Addr().String())):
		f.Add(findingPlace, "address", addr.Addr().String()+" is neither loopback nor an address of this instance")
	}
	if in.RunningMS < 0 {
		f.Add(findingPlace, "running", "must not be negative")
	}
	if len(in.Name) > maxNameBytes {
		f.Add(findingPlace, "name", "is longer than 253 bytes")
	}
	if len(in.Version) > maxVersionBytes {
		f.Add(findingPlace, "version", "is longer than 253 bytes")
	}
	if in.Slots < 1 || in.Slots > maxSlots {
		f.Add(findingPlace, "slots", "must be from 1 to 10000")
	}
	return f
}

// HostMatcher returns a function that reports whether a host is one of those in
// the given listen addresses. Addresses that are not host:port are ignored.
func HostMatcher(listen ...string) func(host string) bool {
	hosts := map[string]bool{}
	for _, l := range listen {
		if host, _, err := net.SplitHostPort(l); err == nil {
			hosts[host] = true
		}
	}
	return func(host string) bool { return hosts[host] }
}

// Flap damping limits the appearances of a server. An appearance is a server
// that takes effect and was not in force before, also as a new incarnation or
// with another service.
const (
	flapWindow       = 30 * time.Second
	defaultFlapLimit = 3 // appearances in flapWindow that take effect at once
)

// lease decides which announcement is in force. It reads no clock: callers pass
// the current time. A server that has appeared flapLimit times within
// flapWindow must wait until it may appear again; leaving and lapsing take
// effect at once.
type lease struct {
	duration    time.Duration
	newest      *Announcement // last one accepted; nil once it has lapsed
	renewedAt   time.Time     // when newest was accepted
	inForce     *Announcement // as last returned by evaluate
	epoch       uint64        // of the last accepted announcement; kept when it lapses
	addr        string        // of the last accepted announcement; kept when it lapses
	appearances []time.Time   // within flapWindow
	flapLimit   int           // appearances in flapWindow that take effect at once; zero means defaultFlapLimit
	departures  []departure   // the last of each server that has left, in the order of leaving
	unrecorded  *departure    // news of departures, until takeDeparture
}

// departure is the leaving of all incarnations of a named server up to one.
type departure struct {
	name  string
	epoch uint64 // zero when it is not known
}

// maxDepartures bounds lease.departures.
const maxDepartures = 64

// isStale reports whether an announcement is of an earlier incarnation at the same
// address, older than the newest of the same incarnation, or of a server that has left:
// such a one may only repeat that it is leaving, and only while no other is known.
func (l *lease) isStale(in *Announcement) bool {
	switch {
	case in.Address == l.addr && in.Epoch < l.epoch:
		return true
	case in.sameIncarnation(l.newest):
		return in.Seq < l.newest.Seq
	}
	return l.hasLeft(in) && (!in.Leaving || l.newest != nil)
}

// renew accepts an announcement and restarts the lease. It returns false for a
// stale one.
func (l *lease) renew(in *Announcement, now time.Time) bool {
	if l.isStale(in) {
		return false
	}
	if in.sameIncarnation(l.newest) && l.newest.Leaving && !in.Leaving { // leaving is final
		leaving := *in
		leaving.Leaving = true
		in = &leaving
	}
	l.addr, l.epoch = in.Address, in.Epoch
	l.newest, l.renewedAt = in, now
	if in.Leaving {
		l.recordLeft(in.Name, in.Epoch)
	}
	return true
}

// hasLeft reports whether the incarnation that an announcement is of has left.
func (l *lease) hasLeft(in *Announcement) bool {
	return slices.ContainsFunc(l.departures, func(d departure) bool { return d.name == in.Name && in.Epoch <= d.epoch })
}

// mayHaveLeft reports whether an unknown incarnation has left that may be the one that
// an announcement is of.
func (l *lease) mayHaveLeft(in *Announcement) bool {
	return slices.Contains(l.departures, departure{name: in.Name})
}

// recordLeft records that the incarnations of a named server up to epoch have left.
// An announcement of one that is in force stays so, marked as leaving, since the
// server still finishes the calls that it has begun. An empty name changes nothing.
func (l *lease) recordLeft(name string, epoch uint64) {
	if name == "" {
		return
	}
	if l.newest != nil && l.newest.Name == name && l.newest.Epoch <= epoch && !l.newest.Leaving {
		leaving := *l.newest
		leaving.Leaving, l.newest = true, &leaving
	}
	i := slices.IndexFunc(l.departures, func(d departure) bool { return d.name == name })
	if i >= 0 {
		if epoch <= l.departures[i].epoch {
			return
		}
		l.departures = slices.Delete(l.departures, i, i+1)
	}
	l.departures = append(l.departures[max(0, len(l.departures)-maxDepartures+1):], departure{name, epoch})
	l.unrecorded = &departure{name, epoch}
}

// takeDeparture returns the last departure that was recorded since the call before, or
// nil.
func (l *lease) takeDeparture() *departure {
	d := l.unrecorded
	l.unrecorded = nil
	return d
}

// endIncarnation records that an incarnation of a named server has ended; epoch
// is zero when it is not known, and then it is the one in force.
func (l *lease) endIncarnation(name string, epoch uint64) {
	if epoch == 0 && l.newest != nil && l.newest.Name == name {
		epoch = l.newest.Epoch
	}
	l.recordLeft(name, epoch)
}

// evaluate drops an announcement that has lapsed and returns the one in force
// from now on, nil for none, and whether that is a change.
func (l *lease) evaluate(now time.Time) (*Announcement, bool) {
	duration := l.duration
	if l.newest != nil && l.newest.found {
		duration /= discoveredLeaseDivisor
	}
	if l.newest != nil && now.Sub(l.renewedAt) > duration {
		l.newest = nil
	}
	next := l.newest
	if next != nil && l.isNewServer(next) && !l.withinFlapLimit(now) {
		next = nil
		if l.inForce == nil {
			return nil, false
		}
	}
	if equalExceptSeq(next, l.inForce) {
		return l.inForce, false
	}
	if next != nil && l.isNewServer(next) {
		l.appearances = append(l.appearances, now)
	}
	l.inForce = next
	return next, true
}

// isNewServer reports whether an announcement differs from the one in force in
// its service, address, name or epoch, or none is in force.
func (l *lease) isNewServer(a *Announcement) bool {
	o := l.inForce
	return o == nil || o.Service != a.Service || o.Address != a.Address || o.Epoch != a.Epoch || o.Name != a.Name
}

// withinFlapLimit reports whether a server may appear now, and forgets
// appearances older than flapWindow.
func (l *lease) withinFlapLimit(now time.Time) bool {
	for len(l.appearances) > 0 && now.Sub(l.appearances[0]) >= flapWindow {
		l.appearances = l.appearances[1:]
	}
	limit := l.flapLimit
	if limit == 0 {
		limit = defaultFlapLimit
	}
	return len(l.appearances) < limit
}

// equalExceptSeq reports whether two announcements, either of which may be nil,
// have the same content apart from Seq and RunningMS, which increase with every renewal.
func equalExceptSeq(a, b *Announcement) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.Seq, y.Seq, x.RunningMS, y.RunningMS = 0, 0, 0, 0
	return x == y
}
