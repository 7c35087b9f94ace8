package backendtest

// This file defines a server and a client that send bytes without end.

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"
)

// Endless are answers without end: a beginning, and what follows it again and again until
// the client closes. In none of them does the beginning make the answer a complete one.
var Endless = map[string]struct{ Begin, Repeat string }{
	"no head":          {"", "7"},
	"status line":      {"HTTP/1.1 200 ", "7"},
	"header line":      {"HTTP/1.1 200 OK\r\nA: ", "7"},
	"header lines":     {"HTTP/1.1 200 OK\r\n", "A: 7\r\n"},
	"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	"chunk size":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"trailer lines":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: 7\r\n"},
	"body until close": {"HTTP/1.1 200 OK\r\n\r\n", "7"},
	"body in chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n7777\r\n"},
}

// ServeEndless starts a server on loopback that reads the head of a request on each
// connection and answers it without end. It returns the server's address.
func ServeEndless(t testing.TB, begin, repeat string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		conns.Wait()
	})
	conns.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { answerEndlessly(conn, begin, repeat) })
		}
	})
	return l.Addr().String()
}

// answerEndlessly reads a request's head and writes until the connection closes.
func answerEndlessly(conn net.Conn, begin, repeat string) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
	}
	WriteEndlessly(conn, begin, repeat)
}

// WriteEndlessly writes a beginning, and then a text again and again until the connection
// fails. With an empty text it waits for that.
func WriteEndlessly(conn net.Conn, begin, text string) {
	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}
	if text == "" {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for block := bytes.Repeat([]byte(text), 1+(16<<10)/len(text)); ; {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// EndlessBodies are the parts after the head of a request in chunks that has no end, as
// in Endless.
var EndlessBodies = map[string]struct{ Begin, Repeat string }{
	"chunk extension": {"1;", "a"},
	"chunk size":      {"", "0"},
	"trailer lines":   {"0\r\n", "A: 7\r\n"},
	"body in chunks":  {"", "4\r\n7777\r\n"},
}

// SendEndlessly sends a request without end to a server, until the server closes the
// connection or for a bounded time.
func SendEndlessly(addr, begin, repeat string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	WriteEndlessly(conn, begin, repeat)
}

// sendTimeout bounds the time for which SendEndlessly sends.
const sendTimeout = 5 * time.Second

// AllocatedDuring returns the bytes that the process allocates on the heap while f runs.
func AllocatedDuring(f func()) uint64 {
	before := allocated()
	f()
	return allocated() - before
}

func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
