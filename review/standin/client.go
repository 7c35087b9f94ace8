package main

// This file is a stand-in for consumers: plain HTTP/1.1 on connections of their own.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the ID of one consumer attempt.
func newID(kind string) string { return fmt.Sprintf("%s-%06d", kind, lastID.Add(1)) }

// client is a consumer with one connection, which it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	served int // requests that were answered on the connection
}

func dial(m *machine) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.ip+":8141", time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// result is what a consumer saw of one request.
type result struct {
	id      string
	status  int // 0 if there was no answer
	stamped bool
	body    int
	kept    bool // it was sent on a connection that had carried others
	err     error
	took    time.Duration
	reason  string
	close   bool
}

// do sends one request and reads its answer, for as long as limit.
func (c *client) do(method, text, id string, limit time.Duration) result {
	start := time.Now()
	res := result{id: id, kept: c.served > 0}
	_ = c.conn.SetDeadline(start.Add(limit))
	if _, err := io.WriteString(c.conn, text); err != nil {
		res.err, res.took = err, time.Since(start)
		return res
	}
	c.read(method, &res)
	res.took = time.Since(start)
	return res
}

// read reads one answer.
func (c *client) read(method string, res *result) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		res.err = err
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	res.status, res.body, res.err, res.close = resp.StatusCode, int(n), err, resp.Close
	res.stamped = resp.Header.Get(names.Stamp) != ""
	res.reason = resp.Header.Get("Caroblift-Reason")
	if res.err == nil {
		c.served++
	}
}

// closed reports whether the connection ended without an answer, other than by the
// client's own time limit.
func (r result) closed() bool {
	var timeout net.Error
	return r.status == 0 && r.err != nil && !(errors.As(r.err, &timeout) && timeout.Timeout())
}

func (r result) String() string {
	return fmt.Sprintf("%s status %d stamped %v body %d kept %v in %v reason %q err %v", r.id, r.status, r.stamped, r.body, r.kept, r.took.Round(time.Millisecond), r.reason, r.err)
}
