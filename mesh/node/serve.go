package node

// This file serves the ports of a node within the limits that its settings derive from the
// memory and the descriptors of the instance.

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"caroblift.dev/mesh/caller"
	"caroblift.dev/mesh/connlimit"
	"caroblift.dev/mesh/peer"
	"caroblift.dev/mesh/telemetry"
)

// Limits of HTTP/2.
const (
	// maxStreamBuffer bounds the data buffered for a slow reader of one HTTP/2 stream, in
	// bytes.
	maxStreamBuffer = 256 << 10
	// maxClientStreams is the number of streams of a connection at ports that are not for
	// nodes. It is the least that the specification recommends. A client with more
	// requests opens another connection, or waits.
	maxClientStreams = 100
	// maxClientBuffer bounds the data of all streams of such a connection that no handler has
	// read yet, in bytes. It allows 20 Mbit/s over a path of 100 ms.
	maxClientBuffer = 256 << 10
	// minFrameSize is the largest frame that every peer of HTTP/2 must accept, in bytes. A
	// frame's memory is allocated when its length has been read.
	minFrameSize = 16 << 10
	// maxNodeFrame bounds the frames of other nodes, in bytes.
	maxNodeFrame = 64 << 10
)

// limited reports whether the settings name limits.
func (n *Node) limited() bool {
	return n.settings.GetLimits().GetMemory() > 0 || n.settings.GetLimits().GetDescriptors() > 0
}

// openAccounts creates the accounts of the ports if the settings name limits.
func (n *Node) openAccounts() {
	if !n.limited() {
		return
	}
	s := n.settings.GetLimits()
	accounts := connlimit.NewAccounts(connlimit.Resources{Memory: s.GetMemory() << 20, Descriptors: int(s.GetDescriptors()), Files: int(s.GetFiles())})
	for port, account := range accounts {
		n.guards[port] = &caller.Guard{Account: account, Refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }}
	}
	n.guards[connlimit.PortCaller].Refuse = n.Proxy.RefuseForRoom
	n.guards[connlimit.PortHop].Refuse = n.Gate.RefuseForRoom
}

// serve serves a port. wrap adds what the port needs to its listener; it may be nil.
func (n *Node) serve(port connlimit.Port, l net.Listener, wrap func(net.Listener) net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, Protocols: peer.ServerProtocols(), HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: maxStreamBuffer},
		ErrorLog: telemetry.NewErrorLog(n.sinks.Log, "http server"),
	}
	caller.SetLimits(server) // the same limits apply to connections of nodes and operators
	if guard := n.guards[port]; guard != nil {
		l = guard.Listener(l)
		guard.Serve(server)
		server.HTTP2.MaxReadFrameSize = maxNodeFrame
		if port != connlimit.PortHop && port != connlimit.PortPeer {
			server.HTTP2.MaxReadFrameSize, server.HTTP2.MaxConcurrentStreams, server.HTTP2.MaxReceiveBufferPerConnection = minFrameSize, maxClientStreams, maxClientBuffer
		}
	}
	if wrap != nil {
		l = wrap(l)
	}
	n.servers = append(n.servers, server)
	n.tomb.Go(func() error {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.Addr())
		}
		return nil
	})
}

// limitReportInterval is the interval at which closed connections are logged.
const limitReportInterval = time.Second

// guardPorts closes the connections that make no progress, and reports them.
func (n *Node) guardPorts(ctx context.Context) error {
	if n.guards[connlimit.PortCaller] == nil {
		return nil
	}
	scan, report := time.NewTicker(connlimit.ScanInterval), time.NewTicker(limitReportInterval)
	defer scan.Stop()
	defer report.Stop()
	r := newLimitReporter(n)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-scan.C:
			for _, g := range n.guards {
				if g != nil {
					g.Scan(now)
				}
			}
		case <-report.C:
			r.report()
		}
	}
}

// limitReporter reports the accounts of the ports.
type limitReporter struct {
	node  *Node
	scope tally.Scope
	last  [connlimit.Ports]connlimit.Status
}

func newLimitReporter(n *Node) *limitReporter {
	return &limitReporter{node: n, scope: n.sinks.Scope.SubScope("limits")}
}

// report updates the metrics of each port, and logs one line for each port at which
// connections were closed or refused since the last report.
func (r *limitReporter) report() {
	for i, g := range r.node.guards {
		if g == nil {
			continue
		}
		port, s := connlimit.Port(i).String(), g.Account.Status()
		scope := r.scope.Tagged(map[string]string{"port": port})
		scope.Gauge("connections").Update(float64(s.Conns))
		scope.Gauge("memory").Update(float64(s.Memory))
		scope.Gauge("waiting").Update(float64(s.Waiting))
		closed := map[string]int64{}
		for reason := connlimit.ReasonNone + 1; reason < connlimit.Reasons; reason++ {
			if count := s.Closed[reason] - r.last[i].Closed[reason]; count > 0 {
				closed[reason.String()] = count
				scope.Tagged(map[string]string{"reason": reason.String()}).Counter("closed").Inc(count)
			}
		}
		if r.last[i] = s; len(closed) > 0 {
			r.node.sinks.Log.Warn(telemetry.ConnectionsClosed, "port", port, "closed", closed, "connections", s.Conns, "memory", s.Memory, "waiting", s.Waiting,
				"addresses", s.Addresses, "largest", s.Largest.String(), "largestConnections", s.LargestConns, "largestMemory", s.LargestMemory)
		}
	}
}
