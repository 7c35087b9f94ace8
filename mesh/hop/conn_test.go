package hop

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriteHidesNoReset guards against an end of file on a connection whose reset was reported to a write alone.
func TestWriteHidesNoReset(t *testing.T) {
	unread := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct {
		inOrder bool // the peer closes its side before it resets the connection
		part    string
	}{
		"reset":                  {false, "part"},
		"reset, no byte":         {false, ""},
		"closed, reset":          {true, "part"},
		"closed, reset, no byte": {true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			conn, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			peer, err := l.Accept()
			require.NoError(t, err)
			_, err = io.WriteString(conn, unread)
			require.NoError(t, err)
			_, err = io.WriteString(peer, c.part)
			require.NoError(t, err)
			if c.inOrder {
				require.NoError(t, peer.(*net.TCPConn).CloseWrite())
			}
			require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
			require.NoError(t, peer.Close())
			require.Eventually(t, func() bool { return broken(conn) }, time.Second, time.Millisecond)
			_, err = io.WriteString(conn, unread)
			require.Error(t, err)
			got, err := io.ReadAll(conn)
			require.Equal(t, c.part, string(got))
			if c.inOrder {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, errReset)
			}
		})
	}
}
