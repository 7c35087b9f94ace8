package settings

// This file checks what concerns several keys.

import (
	"net/netip"

	"caroblift.dev/wire"
)

// rules reports the combinations of values that cannot work. A key whose own
// value is wrong was reported before and takes no part.
func (l *loader) rules(s *wire.Settings) {
	l.listenRules(s.GetListen())
	l.intervalRules(s)
	if s.GetTrace().GetExporter() == "otlp" && s.GetTrace().GetEndpoint() == "" {
		l.add("trace", "endpoint", "is required with exporter = otlp")
	}
}

// listenRules reports ports that collide and addresses that others cannot use
// or must not reach.
func (l *loader) listenRules(s *wire.Listen) {
	type listener struct {
		key  string
		addr netip.AddrPort
	}
	var seen []listener
	for _, one := range []struct{ key, text string }{
		{"caller", s.GetCaller()},
		{"hop", s.GetHop()},
		{"peer", s.GetPeer()},
		{"backend", s.GetBackend()},
		{"operator", s.GetOperator()},
	} {
		addr, err := netip.ParseAddrPort(one.text)
		if err != nil {
			continue
		}
		for _, other := range seen {
			if collide(addr, other.addr) {
				l.add("listen", one.key, "%s is taken by listen.%s already", addr, other.key)
			}
		}
		seen = append(seen, listener{one.key, addr})
		switch {
		case (one.key == "hop" || one.key == "peer") && addr.Addr().IsUnspecified():
			l.add("listen", one.key, "%s names no address that other nodes could connect to", addr)
		case one.key == "operator" && !addr.Addr().IsLoopback() && !s.GetOpen():
			l.add("listen", one.key, "%s is not loopback; set open = true to allow it", addr)
		}
	}
}

// collide tells whether two addresses cannot be listened at together. Port 0
// stands for any free port.
func collide(a, b netip.AddrPort) bool {
	if a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// intervalRules reports intervals that do not fit together.
func (l *loader) intervalRules(s *wire.Settings) {
	p, m, c := s.GetPlatform(), s.GetPeers(), s.GetCalls()
	for _, rule := range []struct {
		section, key string
		value, least int64
		reason       string
	}{
		{"platform", "wait", p.GetWait(), p.GetTimeout(), "platform.timeout, the bound of a plain call"},
		{"platform", "wait", p.GetWait(), p.GetPoll(), "platform.poll, the interval beside the watch"},
		{"peers", "suspect", m.GetSuspect(), 2 * m.GetBeat(), "two intervals of peers.beat, in which a suspicion is refuted"},
		{"peers", "exchange", m.GetExchange(), m.GetBeat(), "peers.beat, the interval of heartbeats"},
		{"calls", "lease", c.GetLease(), m.GetBeat(), "peers.beat, the heartbeat that spreads an announcement"},
	} {
		if rule.value != 0 && rule.value < rule.least {
			l.add(rule.section, rule.key, "%d ms is less than %d ms: %s", rule.value, rule.least, rule.reason)
		}
	}
}
