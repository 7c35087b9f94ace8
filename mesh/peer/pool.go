// Package peer implements the communication between nodes: connections and their
// byte counts, the distribution of revisions, and membership. The decisions are
// made by packages spread and member, which do no input or output.
//
// # Usage
//
//	pool := peer.NewPool(peer.PoolConfig{PingTimeout: 400 * time.Millisecond})
//	resp, err := pool.Client("127.0.0.1:7101").Fetch(ctx, connect.NewRequest(&wire.FetchRequest{}))
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"caroblift.dev/mesh/hop"
	"caroblift.dev/wire/wireconnect"
)

// Bounds of a pool.
const (
	idleTimeout = 5 * time.Second // of a connection without requests
	maxClients  = 64              // clients that are cached
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	PingTimeout   time.Duration          // ping timeout; a connection is pinged after 4 times this silence, at least 2 s
	ClientOptions []connect.ClientOption // added to those of every client
}

// Pool holds the HTTP/2 connections to other nodes for control messages and
// counts their bytes.
type Pool struct {
	ConnCounter     ByteCounter     // of the connections that this node opened
	MessageCounters MessageCounters // of the messages sent, and of those served if the handler gets the same counters

	config     PoolConfig
	transport  *http.Transport
	httpClient *http.Client

	mu      sync.Mutex
	clients map[string]*cachedClient
}

// cachedClient is a client with the time when Client last returned it.
type cachedClient struct {
	wireconnect.PeerClient
	lastUsed time.Time
}

// NewPool returns a pool without connections.
func NewPool(config PoolConfig) *Pool {
	p := &Pool{config: config, clients: map[string]*cachedClient{}, MessageCounters: NewMessageCounters()}
	p.transport = NewTransport(config.PingTimeout, &p.ConnCounter)
	// Heartbeats keep long-lived connections busy, so the longer timeout leaves
	// pings to connections that have missed a heartbeat.
	p.transport.HTTP2.SendPingTimeout = max(4*config.PingTimeout, 2*time.Second)
	p.transport.IdleConnTimeout = idleTimeout
	p.httpClient = &http.Client{Transport: countedRoundTripper{RoundTripper: p.transport, counters: p.MessageCounters}}
	return p
}

// NewTransport returns an HTTP/2 transport without TLS. It pings a connection
// that has been silent for the given time and closes it if the ping is not
// answered within the same time. It accepts headers of up to hop.MaxHeaderBytes. Bytes of all connections are added to counter.
func NewTransport(silent time.Duration, counter *ByteCounter) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: max(2*silent, time.Second)}
	return &http.Transport{
		Protocols:              protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: silent, PingTimeout: silent},
		MaxResponseHeaderBytes: hop.MaxHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, counter: counter}, nil
		},
	}
}

// Client returns a client of the node at a peer address.
func (p *Pool) Client(addr string) wireconnect.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		p.evictOldest()
		options := append([]connect.ClientOption{clientCompression()}, p.config.ClientOptions...)
		c = &cachedClient{PeerClient: wireconnect.NewPeerClient(p.httpClient, "http://"+addr, options...)}
		p.clients[addr] = c
	}
	c.lastUsed = time.Now()
	return c
}

// evictOldest removes the least recently used client if the cache is full. The
// connection stays open until it has been idle for idleTimeout. The caller holds
// p.mu.
func (p *Pool) evictOldest() {
	if len(p.clients) < maxClients {
		return
	}
	oldest := ""
	for addr, c := range p.clients {
		if oldest == "" || c.lastUsed.Before(p.clients[oldest].lastUsed) {
			oldest = addr
		}
	}
	delete(p.clients, oldest)
}

// Forget removes the cached client of an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, addr)
}

// Close closes the idle connections.
func (p *Pool) Close() { p.httpClient.CloseIdleConnections() }

// ServerProtocols returns the protocols of a node's servers: HTTP/1 and HTTP/2
// without TLS.
func ServerProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
