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
	"sync/atomic"
	"time"

	"caroblift.dev/wire/wireconnect"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Silent time.Duration // silence after which a connection is probed and then given up
}

// Pool holds the HTTP/2 connections to other nodes for control messages and
// counts their bytes.
type Pool struct {
	Bytes Counter

	http    *http.Client
	mu      sync.Mutex
	clients map[string]wireconnect.PeerClient
}

// Counter counts the bytes of connections in both directions.
type Counter struct {
	In, Out atomic.Int64
}

// NewPool returns a pool.
func NewPool(config PoolConfig) *Pool {
	p := &Pool{clients: map[string]wireconnect.PeerClient{}}
	p.http = &http.Client{Transport: NewTransport(config.Silent, &p.Bytes)}
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
		c = wireconnect.NewPeerClient(p.http, "http://"+addr)
		p.clients[addr] = c
	}
	return c
}

// Forget drops the client of an address that is no longer used.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, addr)
}

// Close releases the connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.In.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Out.Add(int64(n))
	return n, err
}

// Listener counts the bytes of every connection that it accepts.
type Listener struct {
	net.Listener
	Counter *Counter
}

// Accept returns the next connection, counted.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.Counter}, nil
}

// Protocols returns what a node's server speaks: HTTP/1 and HTTP/2 without TLS.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
