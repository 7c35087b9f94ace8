package node

// This file assembles the call path of a node: the gate, the proxy and the receiver of
// the backend server's announcements.

import (
	"caroblift.dev/mesh/backend"
	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/record"
)

// bytesPerKbit converts the link rate in the settings, which is in kbit/s.
const bytesPerKbit = 1000 / 8

// linkRate returns the rate of the instance's network link in bytes/s, or 0 if it
// is not known.
func (n *Node) linkRate() float64 { return float64(n.settings.GetInstance().GetLink()) * bytesPerKbit }

func (n *Node) assembleCalls() {
	s := n.settings.GetCalls()
	silent := ms(s.GetSilent())
	n.hopTransport = hop.Transport{Transport: peer.NewTransport(silent, &n.callBytes)}
	n.hopTransport.HTTP2.MaxReceiveBufferPerStream = maxStreamBuffer
	n.hopTransport.HTTP2.SendPingTimeout = silent / 2 // detects a lost connection after 1.5 times calls.silent
	gate := backend.GateConfig{
		Policy:   func(service string) record.Policy { return n.Holder.Table().Policy(service) },
		MaxConns: n.maxConns, SilenceTimeout: silent, Sinks: n.sinks.ForPart("backend"), LinkRate: n.linkRate(), Pace: s.GetPace(), SentBytes: n.sentBytes,
		OwnShare: n.ownShare, ServerLeaving: func(t *backend.Target) { n.announcer.RecordLeaving(t.Server, t.Epoch) },
		ServerEnded: func(t *backend.Target) { n.announcer.RecordEnded(t.Server, t.Epoch) }, Instance: n.settings.GetInstance().GetName(), Suspects: n.suspects,
		Rollouts: n.rollouts.guard,
	}
	proxy := caller.Config{
		Table: n.Holder.Table, Ready: n.Holder.Ready, View: n.Members.View, Remote: n.hopTransport,
		ReportReachability: n.Members.RecordCallResult, Timeout: ms(s.GetTimeout()), Sinks: n.sinks.ForPart("caller"),
		Service: n.settings.GetBackend().GetService(), Suspects: n.suspects, Quotas: n.quotas, OfferedRates: n.quotas.Rates,
		LimitUploads: n.limited(),
		Rollouts:     n.rollouts.board, RolloutLimits: n.rollouts.limits,
	}
	if shared := n.settings.GetShared(); shared.GetOn() {
		proxy.ExtraAttempts = caller.ExtraAttempts{Percent: int(shared.GetPercent()), Burst: int(shared.GetSlack())}
	}
	gate.Calls = callees{n}
	announcer := backend.AnnouncerConfig{
		Log:   n.sinks.ForPart("backend").Log,
		Lease: ms(s.GetLease()), OnChange: n.onAnnouncement, IsLocal: backend.HostMatcher(n.Addresses().Hop, n.Addresses().Peer, n.Addresses().Caller),
		Departures: n.Members,
	}
	if n.platform != nil {
		n.adaptToPlatform(&gate, &proxy, &announcer)
	}
	n.Gate = backend.NewGate(gate)
	proxy.Local = n.Gate
	n.Proxy = caller.New(proxy)
	n.announcer = backend.NewAnnouncer(announcer)
}

// callees is the Callees of a node's gate, by the proxy, which is created after it.
type callees struct{ node *Node }

func (c callees) AddRun() { c.node.Proxy.AddRun() }

func (c callees) TakeRepeat() (func(), bool) { return c.node.Proxy.TakeRepeat() }

func (c callees) YieldShare(priority int) float64 { return c.node.Proxy.YieldShare(priority) }

// maxConns returns the number of connections that a backend server of a service accepts by
// the table in force, or 0 if it does not say.
func (n *Node) maxConns(service string) int {
	if s := n.Holder.Table().Services[service]; s != nil {
		return s.MaxConns
	}
	return 0
}

// ownShare returns the share of the known instances that run a service.
func (n *Node) ownShare(service string) float64 {
	v := n.Members.View()
	return float64(len(v.Offers(service))) / float64(max(1, len(v.Names)))
}

// sentBytes returns the bytes of calls and control messages sent to other nodes
// so far.
func (n *Node) sentBytes() int64 {
	_, control := n.controlBytes()
	return n.callBytes.Out.Load() + control
}

// onAnnouncement applies a change of the backend server to the gate and to the
// member table.
func (n *Node) onAnnouncement(a *backend.Announcement) {
	n.Gate.SetTarget(a.Target())
	n.Members.Announce(a.WireServers())
}
