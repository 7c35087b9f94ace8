// Package peer speaks to the other nodes: connections and their byte counts,
// the spread of revisions, and membership.
//
// # Usage
//
//	pool := peer.NewPool(peer.PoolConfig{Silent: 400 * time.Millisecond})
//	resp, err := pool.Client("127.0.0.1:7101").Fetch(ctx, connect.NewRequest(&wire.FetchRequest{}))
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"caroblift.dev/wire/wireconnect"
)

// Bounds of a pool.
const (
	idleTime   = 5 * time.Second // after which an unused connection is closed
	maxClients = 64              // clients that are kept
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Silent  time.Duration          // silence after which a connection is probed and then given up
	Options []connect.ClientOption // of every client
}

// Pool holds the HTTP/2 connections to other nodes for control messages and
// counts their bytes.
type Pool struct {
	Bytes Counter // of the connections that this node opened
	Kinds Kinds   // of messages in both roles, once the server counts here too

	config    PoolConfig
	transport *http.Transport
	http      *http.Client

	mu      sync.Mutex
	clients map[string]*client
}

// client is a kept client and when it was last asked for.
type client struct {
	wireconnect.PeerClient
	used time.Time
}

// NewPool returns a pool.
func NewPool(config PoolConfig) *Pool {
	p := &Pool{config: config, clients: map[string]*client{}, Kinds: NewKinds()}
	p.transport = NewTransport(config.Silent, &p.Bytes)
	// Heartbeats keep the lasting connections busy, so pings are left to those
	// that have missed one.
	p.transport.HTTP2.SendPingTimeout = max(4*config.Silent, 2*time.Second)
	p.transport.IdleConnTimeout = idleTime
	p.http = &http.Client{Transport: roundTripper{RoundTripper: p.transport, kinds: p.Kinds}}
	return p
}

// NewTransport returns an HTTP/2 transport without TLS that pings a connection
// after a silence and gives it up after another one.
func NewTransport(silent time.Duration, counter *Counter) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: max(2*silent, time.Second)}
	return &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: silent, PingTimeout: silent},
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, counter: counter}, nil
		},
	}
}

// Client returns the client of the node at a peer address.
func (p *Pool) Client(addr string) wireconnect.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		p.trim()
		options := append([]connect.ClientOption{compressClient()}, p.config.Options...)
		c = &client{PeerClient: wireconnect.NewPeerClient(p.http, "http://"+addr, options...)}
		p.clients[addr] = c
	}
	c.used = time.Now()
	return c
}

// trim drops the client that has not been used for longest when the pool is
// full. The connection stays until it is idle.
func (p *Pool) trim() {
	if len(p.clients) < maxClients {
		return
	}
	oldest := ""
	for addr, c := range p.clients {
		if oldest == "" || c.used.Before(p.clients[oldest].used) {
			oldest = addr
		}
	}
	delete(p.clients, oldest)
}

// Forget drops the client of an address that is no longer used.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, addr)
}

// Close releases the connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// Protocols returns what a node's server speaks: HTTP/1 and HTTP/2 without TLS.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
