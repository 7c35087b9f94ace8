package backendtest

// This file defines a server whose answers are written byte by byte, and answers that are
// none in HTTP.

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
			go answerRaw(conn, answer)
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

// OddStatuses are statuses that no answer may have.
var OddStatuses = []string{"000", "001", "042", "099", "+99", "600", "999"}
