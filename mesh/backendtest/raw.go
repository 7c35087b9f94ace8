package backendtest

// This file defines a server whose answers are given as bytes, and parts of heads that are
// not valid in HTTP.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// ServeRaw starts a server on loopback that reads each request whole and writes what answer
// returns. It keeps the connection, or closes it after an empty answer. It returns the
// server's address.
func ServeRaw(t testing.TB, answer func(*http.Request) string) string {
	return serveConns(t, func(conn net.Conn) { answerRaw(conn, answer) })
}

// serveConns starts a server on loopback that serves each connection by a function, until the
// end of the test. It returns the server's address.
func serveConns(t testing.TB, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

func answerRaw(conn net.Conn, answer func(*http.Request) string) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := answer(r)
		if _, err := io.WriteString(conn, text); err != nil || text == "" {
			return
		}
	}
}

// InvalidStatuses are statuses outside 100 to 599.
var InvalidStatuses = []string{"000", "001", "042", "099", "+99", "600", "999"}

// InvalidFields are header lines whose name is no token.
var InvalidFields = map[string]string{
	"blank within":             "Odd Name: 1\r\n",
	"blank before the colon":   "Odd : 1\r\n",
	"blanks":                   "O d d  : 1\r\n",
	"blank in a length":        "Content -Length: 2\r\n",
	"blank after a length":     "Content-Length : 2\r\n",
	"blank after an encoding":  "Transfer-Encoding : chunked\r\n",
	"blank after a connection": "Connection : close\r\n",
	"tab":                      "Odd\t: 1\r\n",
	"control byte":             "O\x01dd: 1\r\n",
	"NUL":                      "O\x00dd: 1\r\n",
	"DEL":                      "O\x7fdd: 1\r\n",
	"carriage return":          "O\rdd: 1\r\n",
	"separator":                "O(d)d: 1\r\n",
	"byte beyond ASCII":        "O\xffdd: 1\r\n",
	"none":                     ": 1\r\n",
}
