package settings

// This file checks constraints between several keys.

import (
	"net/netip"

	"caroblift.dev/wire"
)

// checkRules reports combinations of values that cannot work together. Invalid
// values of single keys were reported before and are ignored here.
func (l *loader) checkRules(s *wire.Settings) {
	l.checkListen(s.GetListen())
	l.checkIntervals(s)
	if s.GetTrace().GetExporter() == "otlp" && s.GetTrace().GetEndpoint() == "" {
		l.addFinding("trace", "endpoint", "is required with exporter = otlp")
	}
}

// checkListen reports addresses that conflict with each other, peer and hop
// addresses that other nodes cannot connect to, and an operator address that is
// open to other hosts without being allowed to.
func (l *loader) checkListen(s *wire.Listen) {
	type listener struct {
		key  string
		addr netip.AddrPort
	}
	var seen []listener
	for _, configured := range []struct{ key, text string }{
		{"caller", s.GetCaller()},
		{"hop", s.GetHop()},
		{"peer", s.GetPeer()},
		{"backend", s.GetBackend()},
		{"operator", s.GetOperator()},
	} {
		addr, err := netip.ParseAddrPort(configured.text)
		if err != nil {
			continue
		}
		for _, other := range seen {
			if conflict(addr, other.addr) {
				l.addFinding("listen", configured.key, "%s is taken by listen.%s already", addr, other.key)
			}
		}
		seen = append(seen, listener{configured.key, addr})
		switch {
		case (configured.key == "hop" || configured.key == "peer") && addr.Addr().IsUnspecified():
			l.addFinding("listen", configured.key, "%s is not an address that other nodes can connect to", addr)
		case configured.key == "operator" && !addr.Addr().IsLoopback() && !s.GetOpen():
			l.addFinding("listen", configured.key, "%s is not loopback; set open = true to allow it", addr)
		}
	}
}

// conflict reports whether one process cannot listen on both addresses. Port 0 means
// any free port and conflicts with none.
func conflict(a, b netip.AddrPort) bool {
	if a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkIntervals reports intervals that are shorter than another interval allows.
func (l *loader) checkIntervals(s *wire.Settings) {
	platform, peers, calls := s.GetPlatform(), s.GetPeers(), s.GetCalls()
	for _, rule := range []struct {
		section, key   string
		value, minimum int64
		reason         string
	}{
		{"platform", "wait", platform.GetWait(), platform.GetTimeout(), "platform.timeout, the bound of a call other than a watch"},
		{"platform", "wait", platform.GetWait(), platform.GetPoll(), "platform.poll, the interval of polling in addition to the watch"},
		{"peers", "suspect", peers.GetSuspect(), 2 * peers.GetBeat(), "two intervals of peers.beat, the time to refute a suspicion"},
		{"peers", "exchange", peers.GetExchange(), peers.GetBeat(), "peers.beat, the interval of heartbeats"},
		{"calls", "lease", calls.GetLease(), peers.GetBeat(), "peers.beat, the interval of the heartbeats that spread an announcement"},
	} {
		if rule.value != 0 && rule.value < rule.minimum {
			l.addFinding(rule.section, rule.key, "%d ms is less than %d ms: %s", rule.value, rule.minimum, rule.reason)
		}
	}
}
