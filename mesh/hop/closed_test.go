package hop

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClosedByPeerBehindUnreadBytes guards against a close that unread bytes hide.
func TestClosedByPeerBehindUnreadBytes(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*net.TCPConn) error
		closed bool
	}{
		"open":        {func(*net.TCPConn) error { return nil }, false},
		"closed":      {(*net.TCPConn).Close, true},
		"half closed": {(*net.TCPConn).CloseWrite, true},
		"reset": {func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			server, err := l.Accept()
			require.NoError(t, err)
			defer server.Close()
			_, err = client.Write([]byte("unread"))
			require.NoError(t, err)
			require.False(t, ClosedByPeer(server))
			require.NoError(t, c.end(client.(*net.TCPConn)))
			if !c.closed {
				time.Sleep(20 * time.Millisecond)
				require.False(t, ClosedByPeer(server))
				return
			}
			require.Eventually(t, func() bool { return ClosedByPeer(server) }, time.Second, time.Millisecond)
		})
	}
}
