package main

// This file is a stand-in for consumers, which speak HTTP/1.1 over connections of their own.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// consumerRequest is one consumer attempt.
type consumerRequest struct {
	Machine *machine // where it begins
	Method  string
	Host    string
	Target  string // path and query as they are sent
	Fields  string // further header fields, each with its line end
	Body    string
	Budget  time.Duration
}

// consumerAnswer is what the consumer saw.
type consumerAnswer struct {
	ID      string
	Request consumerRequest
	SentAt  time.Time
	EndedAt time.Time
	Kept    bool // it was sent on a connection that had carried an answer
	Status  int  // 0 if there was no answer
	Stamp   string
	Body    []byte
	Whole   bool // the answer was complete by the protocol
	Err     error
}

// sentCount numbers the consumer attempts.
var sentCount atomic.Int64

// consumer sends one attempt after the other, on a connection that it keeps while the node does.
type consumer struct {
	machine *machine
	conn    net.Conn // nil if none is open
	in      *bufio.Reader
}

// send makes one consumer attempt on a new connection.
func send(r consumerRequest) consumerAnswer {
	c := &consumer{machine: r.Machine}
	defer c.close()
	return c.send(r)
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send makes one consumer attempt at the consumer's machine.
func (c *consumer) send(r consumerRequest) consumerAnswer {
	r.Machine = c.machine
	a := consumerAnswer{ID: fmt.Sprintf("c%015x", sentCount.Add(1)), Request: r, SentAt: time.Now(), Kept: c.conn != nil}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", r.Machine.address("outbound"), time.Second)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.Budget))
	if _, err := io.WriteString(c.conn, requestText(r, a.ID)); err != nil {
		a.Err = err
		c.close()
		return a
	}
	closes := c.receive(&a)
	if closes || a.Err != nil {
		c.close()
	}
	a.EndedAt = time.Now()
	return a
}

// requestText returns a request as it is sent.
func requestText(r consumerRequest, id string) string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Target, r.Host,
		name("requestID"), id, name("timeoutMS"), r.Budget.Milliseconds())
	if r.Body != "" || r.Method == http.MethodPost {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	return head.String() + r.Fields + "\r\n" + r.Body
}

// receive reads the answer and reports whether the connection closes after it.
func (c *consumer) receive(a *consumerAnswer) (closes bool) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: a.Request.Method})
	if err != nil {
		a.Err = err
		return true
	}
	defer resp.Body.Close()
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get(name("stamp"))
	if got := resp.Header.Get(name("requestID")); got != "" && got != a.ID {
		a.Err = fmt.Errorf("the answer names request %s", got)
		return true
	}
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Whole = a.Err == nil
	return resp.Close
}

// line returns the answer as a line of the record.
func (a consumerAnswer) line() string {
	text := fmt.Sprintf("%s machine %d %s %s %s -> ", a.ID, a.Request.Machine.number, a.Request.Method, a.Request.Host, a.Request.Target)
	switch {
	case a.Status == 0:
		return text + "no answer: " + errorText(a.Err)
	case a.Err != nil:
		return text + fmt.Sprintf("%d, stamp %q, broken off after %d bytes: %s", a.Status, a.Stamp, len(a.Body), errorText(a.Err))
	}
	return text + fmt.Sprintf("%d, stamp %q, whole by the protocol, %d bytes", a.Status, a.Stamp, len(a.Body))
}

func errorText(err error) string {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return "the consumer's time budget has passed"
	}
	return fmt.Sprint(err)
}
