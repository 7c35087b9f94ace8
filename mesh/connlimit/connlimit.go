// Package connlimit decides which connections a node serves when clients exceed the
// limits: it keeps account of the memory, connections and streams of each port, and
// selects the connections that are closed when room runs short. It does no input or
// output.
//
// # Usage
//
//	accounts := connlimit.NewAccounts(connlimit.Resources{Memory: 184 << 20, Descriptors: 4100, Files: 200})
//	conn, closed := accounts[connlimit.PortCaller].Open(address, stop, time.Now())
package connlimit

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Charges of an account, in bytes. They are estimates of what net/http and the proxy
// allocate, measured with thousands of connections.
const (
	connCharge   = 12 << 10 // stack, buffers and state of a connection
	streamCharge = 16 << 10 // stack, copy buffers and outbound request of a request in progress
	// headFactor is the memory of a header for each byte received. A header of 3,000
	// fields in 16 KB takes 0.16 MB once it is parsed.
	headFactor = 10
	// FreeHead is the part of a header that is read without waiting for room, in bytes.
	// Headers of ordinary callers are shorter.
	FreeHead = 2 << 10
)

// largePercent is the share of a port's memory that long headers and bodies may take.
// The rest is left to new connections and short headers, which ordinary callers have.
const largePercent = 60

// Reason says why a connection was closed or a request was refused.
type Reason int

// Reasons for which a connection is closed or a request refused.
const (
	ReasonNone   Reason = iota
	ReasonConns         // the port has no room for another connection
	ReasonMemory        // the port's memory is in use
	ReasonSlow          // the client is below the minimum rate
	ReasonFlood         // too many control frames
	ReasonResets        // too many streams were opened and reset
	Reasons             // number of reasons
)

// String returns the value of the reason in metrics and log lines.
func (r Reason) String() string {
	return [...]string{"none", "connections", "memory", "slow", "flood", "resets"}[r]
}

// Account is the account of one port. Its methods may be called concurrently.
type Account struct {
	own, common Limits           // of the port alone, and of all ports together beyond these
	siblings    *[Ports]*Account // the accounts that share common; nil if there are none
	used        atomic.Int64     // memory, in bytes
	open        atomic.Int64     // connections
	waiting     atomic.Int32     // connections that wait for room
	pressed     atomic.Bool      // a large request found no room since the last scan
	scarce      atomic.Bool      // room was short at the last scan
	pipeline    pipeline

	// nodes says that the port is for other nodes. Their connections carry the calls of many
	// clients, so they have no minimum rate, and no call's body makes them wait for room.
	nodes bool

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	byAddress map[netip.Addr]int // connections; an address without any has no entry
	queue     []*Conn            // connections that wait for room
	victims   []victim           // selected by the last scan, the first one to close last
	scannedAt time.Time
	admits    bucket // of connections that take the place of others
	resets    bucket // of streams that are reset
	closed    [Reasons]int64
}

// NewAccount returns the account of a port that has its own limits, and may take what is
// left of the common ones.
func NewAccount(own, common Limits) *Account {
	return &Account{
		own: own, common: common, conns: map[*Conn]struct{}{}, byAddress: map[netip.Addr]int{},
		admits: bucket{rate: replaceRate, burst: replaceBurst}, resets: bucket{rate: resetRate, burst: resetRate},
	}
}

// replaceRate and replaceBurst bound how many connections a second take the place of
// others of the same address. Accepting a connection costs processor time, which a client
// that reconnects without pause would fill.
const (
	replaceRate  = 1000
	replaceBurst = 200
)

// Open takes a new connection into the account. It returns nil if there is no room for
// it. closed are connections that must be closed to make room. stop closes the new
// connection; it may be called at any time and must not block.
func (a *Account) Open(address netip.Addr, stop func(), now time.Time) (c *Conn, closed []*Conn) {
	c = &Conn{account: a, address: address, stop: stop, judgement: judgement{since: now, progressAt: now, windowAt: now}}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fitsConn() || !a.fits(connCharge, 100) {
		if a.holdsMost(address) && !a.admits.take(1, now) {
			a.closed[ReasonConns]++
			return nil, nil
		}
		if closed = a.evict(true, connCharge, ReasonConns, now); closed == nil {
			a.closed[ReasonConns]++
			return nil, nil
		}
	}
	c.charged.Store(connCharge)
	a.used.Add(connCharge)
	a.open.Add(1)
	a.conns[c] = struct{}{}
	a.byAddress[address]++
	return c, closed
}

// holdsMost reports whether an address holds more than its share of the connections. The
// caller holds a.mu.
func (a *Account) holdsMost(address netip.Addr) bool {
	return a.byAddress[address] > len(a.conns)/(len(a.byAddress)+1)
}

// fitsConn reports whether another connection fits.
func (a *Account) fitsConn() bool {
	open := int(a.open.Load())
	if a.own.Conns <= 0 || open < a.own.Conns {
		return true
	}
	beyond := open + 1 - a.own.Conns
	if a.siblings != nil {
		for _, s := range a.siblings {
			if s != a {
				beyond += max(0, int(s.open.Load())-s.own.Conns)
			}
		}
	}
	return beyond <= a.common.Conns
}

// fits reports whether n more bytes fit in a share of the memory, in percent.
func (a *Account) fits(n, percent int64) bool {
	used := a.used.Load() + n
	if a.own.Memory <= 0 || used <= a.own.Memory*percent/100 {
		return true
	}
	beyond := used - a.own.Memory*percent/100
	if a.siblings != nil {
		for _, s := range a.siblings {
			if s != a {
				beyond += max(0, s.used.Load()-s.own.Memory)
			}
		}
	}
	return beyond <= a.common.Memory*percent/100
}

// take adds n bytes to the memory in use if they fit in a share of it.
func (a *Account) take(n, percent int64) bool {
	if used := a.used.Add(n); a.own.Memory <= 0 || used <= a.own.Memory*percent/100 || a.fits(0, percent) {
		return true
	}
	a.used.Add(-n)
	return false
}

// makeRoom takes n bytes after it has selected connections to close for them. ok is
// false if there are none.
func (a *Account) makeRoom(n int64, now time.Time) (closed []*Conn, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(n, 100) {
		if closed = a.evict(false, n, ReasonMemory, now); closed == nil {
			return nil, false
		}
	}
	a.used.Add(n)
	return closed, true
}

// remove takes a connection out of the account, and returns false if it was not in it any
// more. The caller holds a.mu.
func (a *Account) remove(c *Conn) bool {
	if _, ok := a.conns[c]; !ok {
		return false
	}
	delete(a.conns, c)
	if a.byAddress[c.address]--; a.byAddress[c.address] <= 0 {
		delete(a.byAddress, c.address)
	}
	a.open.Add(-1)
	a.used.Add(-c.charged.Swap(0))
	a.leaveQueue(c)
	return true
}

// Status is the state of an account.
type Status struct {
	Conns, Addresses, Waiting int
	Memory                    int64          // in use, in bytes
	Closed                    [Reasons]int64 // connections closed or refused, by reason
	Largest                   netip.Addr     // address that holds the most memory
	LargestMemory             int64
	LargestConns              int
}

// Status returns the state of the account.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{Conns: len(a.conns), Addresses: len(a.byAddress), Waiting: int(a.waiting.Load()), Memory: a.used.Load(), Closed: a.closed}
	for address, memory := range a.memoryByAddress() {
		if memory > s.LargestMemory {
			s.Largest, s.LargestMemory, s.LargestConns = address, memory, a.byAddress[address]
		}
	}
	return s
}

// memoryByAddress returns the memory that each address holds. The caller holds a.mu.
func (a *Account) memoryByAddress() map[netip.Addr]int64 {
	held := make(map[netip.Addr]int64, len(a.byAddress))
	for c := range a.conns {
		held[c.address] += c.charged.Load()
	}
	return held
}
