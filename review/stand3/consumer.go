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
	Body    string
	Budget  time.Duration
}

// consumerAnswer is what the consumer saw.
type consumerAnswer struct {
	ID      string
	Request consumerRequest
	SentAt  time.Time
	Status  int // 0 if there was no answer
	Stamp   string
	Body    []byte
	Whole   bool // the answer was complete by the protocol
	Err     error
}

// sentCount numbers the consumer attempts.
var sentCount atomic.Int64

// send makes one consumer attempt on a new connection.
func send(r consumerRequest) consumerAnswer {
	a := consumerAnswer{ID: fmt.Sprintf("c%015x", sentCount.Add(1)), Request: r, SentAt: time.Now()}
	c, err := net.DialTimeout("tcp", r.Machine.address("outbound"), time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.Budget))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Target, r.Host,
		name("requestID"), a.ID, name("timeoutMS"), r.Budget.Milliseconds())
	if r.Body != "" || r.Method == http.MethodPost {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n" + r.Body)
	a.SentAt = time.Now()
	if _, err := io.WriteString(c, head.String()); err != nil {
		a.Err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get(name("stamp"))
	if got := resp.Header.Get(name("requestID")); got != "" && got != a.ID {
		a.Err = fmt.Errorf("the answer names request %s", got)
		return a
	}
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Whole = a.Err == nil
	return a
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
