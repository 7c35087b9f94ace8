package main

// This file is a stand-in for a consumer that speaks HTTP/1.1 on connections that it keeps.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// consumer sends one request at a time on one connection.
type consumer struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	served  int // answers that the connection has brought
}

// answer is what a consumer got for one request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	kept   bool // the request was sent on a connection that had brought an answer
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s no answer after %d ms: %v", a.id, a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s %d after %d ms, %d bytes, stamp %q", a.id, a.status, a.took.Milliseconds(), len(a.body), a.header.Get(name("stamp")))
}

// newID returns the ID of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is one request of a consumer.
type request struct {
	id, method, path string
	timeout          time.Duration
	body             []byte
	chunked          bool
}

// head returns the header of a request.
func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, name("requestID"), q.id, name("timeout"), q.timeout.Milliseconds())
	switch {
	case q.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(q.body) > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	case q.method != http.MethodGet:
		b.WriteString("Content-Length: 0\r\n")
	}
	return b.String() + "\r\n"
}

// bytes returns the whole request.
func (q *request) bytes() []byte {
	out := bytes.NewBufferString(q.head())
	if q.chunked {
		fmt.Fprintf(out, "%x\r\n%s\r\n0\r\n\r\n", len(q.body), q.body)
	} else {
		out.Write(q.body)
	}
	return out.Bytes()
}

// send sends a request and waits for its answer until its time budget has passed.
func (c *consumer) send(q request) answer {
	if q.id == "" {
		q.id = newID()
	}
	start := time.Now()
	a := answer{id: q.id, kept: c.conn != nil && c.served > 0}
	if c.conn == nil {
		var err error
		if c.conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
			c.conn = nil
			a.err, a.took = err, time.Since(start)
			return a
		}
		c.in, c.served = bufio.NewReader(c.conn), 0
	}
	_ = c.conn.SetDeadline(start.Add(q.timeout + time.Second))
	if _, err := c.conn.Write(q.bytes()); err != nil {
		a.err = err
	} else {
		a.read(c, q.method)
	}
	a.took = time.Since(start)
	if a.err != nil || a.header.Get("Connection") == "close" {
		c.close()
	} else {
		c.served++
	}
	return a
}

func (a *answer) read(c *consumer, method string) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	if resp.Close {
		a.header.Set("Connection", "close")
	}
	a.body, a.err = io.ReadAll(resp.Body)
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// slowDial connects with a small receive buffer and the segments of an Ethernet link, so that
// the kernel takes in as little of an answer as it does for a distant client.
func slowDial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	return d.Dial("tcp", address)
}
