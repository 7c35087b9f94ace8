package main

// This file is a proxy between a machine and the store that carries no more bytes a second than
// the link of the machine.

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the link of one machine.
type link struct {
	bytesPerS float64
	mu        sync.Mutex
	freeAt    [2]time.Time  // by direction, when the bytes taken so far have passed
	delay     time.Duration // of each answer's pieces, while it is set
	resets    bool          // connections are reset, those that are open as soon as bytes come
	silence   chan struct{} // closed when the connections that are open go silent for good
}

// serve forwards the connections that come to an address.
func (l *link) serve(address, to string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			if l.resetting() {
				reset(in)
				continue
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			l.mu.Lock()
			if l.silence == nil {
				l.silence = make(chan struct{})
			}
			silence := l.silence
			l.mu.Unlock()
			go l.copy(out, in, 0, silence)
			go l.copy(in, out, 1, silence)
		}
	}()
	return nil
}

// copy forwards one direction of a connection, in pieces that each take their time on the link.
func (l *link) copy(to, from net.Conn, direction int, silence chan struct{}) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silence:
			_, _ = io.Copy(io.Discard, from) // acknowledged and lost
			time.Sleep(time.Minute)
			return
		default:
		}
		if l.resetting() {
			reset(to)
			reset(from)
			return
		}
		if n > 0 {
			l.wait(n, direction)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				time.Sleep(time.Millisecond)
			}
			return
		}
	}
}

// wait waits until n more bytes have passed the link.
func (l *link) wait(n, direction int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt[direction].Before(now) {
		l.freeAt[direction] = now
	}
	l.freeAt[direction] = l.freeAt[direction].Add(time.Duration(float64(n) / l.bytesPerS * float64(time.Second)))
	until := l.freeAt[direction]
	if direction == 1 {
		until = until.Add(l.delay)
	}
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// goSilent makes the connections that are open now lose all that is sent on them.
func (l *link) goSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silence != nil {
		close(l.silence)
	}
	l.silence = make(chan struct{})
}

// setDelay delays what the store sends from now on.
func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// setResets begins or ends to reset connections.
func (l *link) setResets(resets bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets = resets
}

func (l *link) resetting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resets
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
