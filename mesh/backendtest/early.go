package backendtest

// This file defines a server that answers requests before it has read their bodies.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// ServeEarly starts a server on loopback that answers each request as soon as it has read its
// head, and then closes the connection once end has returned. It returns the server's address.
func ServeEarly(t testing.TB, answer string, end func(*net.TCPConn)) string {
	return serveConns(t, func(conn net.Conn) { answerEarly(conn.(*net.TCPConn), answer, end) })
}

func answerEarly(conn *net.TCPConn, answer string, end func(*net.TCPConn)) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, answer); err == nil {
		end(conn)
	}
}

// ResetAfter returns an end of a connection for ServeEarly: a reset after a pause.
func ResetAfter(pause time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(pause)
		_ = conn.SetLinger(0)
	}
}

// Upload is a long request body that comes in pieces with pauses.
type Upload struct {
	left  int
	pause time.Duration
}

// UploadLength is the length of an Upload, in bytes. It exceeds what the buffers of a
// connection on loopback take at first.
const UploadLength = 700 << 10

// NewUpload returns a body that pauses before each piece.
func NewUpload(pause time.Duration) *Upload { return &Upload{UploadLength, pause} }

// Read yields a piece of up to 32 KB.
func (u *Upload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(u.pause)
	n := min(len(p), u.left, 32<<10)
	clear(p[:n])
	u.left -= n
	return n, nil
}
