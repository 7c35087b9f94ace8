package hop

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unread is sent to peers that don't read.
var unread = make([]byte, 64<<10)

// dialReset returns a connection that its peer has reset after it sent a part.
func dialReset(t *testing.T, part string, inOrder bool) *conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	opened, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	peer := accepted.(*net.TCPConn)
	_, err = opened.Write(unread)
	require.NoError(t, err)
	_, err = io.WriteString(peer, part)
	require.NoError(t, err)
	if inOrder {
		require.NoError(t, peer.CloseWrite())
	}
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.Eventually(t, func() bool { return broken(opened) }, time.Second, time.Millisecond)
	return opened.(*conn)
}

// TestWriteHidesNoReset guards against an end of file on a connection whose reset was reported to a write alone.
func TestWriteHidesNoReset(t *testing.T) {
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
			opened := dialReset(t, c.part, c.inOrder)
			_, err := opened.write(unread)
			require.Error(t, err)
			got, err := io.ReadAll(opened)
			require.Equal(t, c.part, string(got))
			if c.inOrder {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, errReset)
			}
		})
	}
}

// TestFailedWriteWaitsForReader guards against a failed write that ends a connection on which an answer is still unread.
func TestFailedWriteWaitsForReader(t *testing.T) {
	for name, end := range map[string]func(*conn) error{
		"read": func(c *conn) error {
			got, err := io.ReadAll(c)
			require.Equal(t, "part", string(got))
			return err
		},
		"closed": (*conn).Close,
	} {
		t.Run(name, func(t *testing.T) {
			opened := dialReset(t, "part", true)
			written := make(chan error, 1)
			go func() {
				_, err := opened.Write(unread)
				written <- err
			}()
			select {
			case err := <-written:
				require.Fail(t, "the write did not wait", err)
			case <-time.After(20 * time.Millisecond):
			}
			require.NoError(t, end(opened))
			require.Error(t, <-written)
		})
	}
}
