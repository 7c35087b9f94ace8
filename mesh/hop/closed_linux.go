package hop

// This file asks the kernel whether the other end of a connection has closed it.

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the other end of a connection has closed it, or its own side
// of it, although bytes that it sent before may not have been read yet. It does not block,
// and returns false if that can't be found out. c may be a wrapper with a method NetConn.
func ClosedByPeer(c net.Conn) bool {
	occurred, err := poll(c, unix.POLLRDHUP)
	return err == nil && occurred&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// broken reports whether a connection is closed for reads and for writes, by either end, so
// that neither blocks. It does not block, and returns false if that can't be found out. c is
// as for ClosedByPeer.
func broken(c net.Conn) bool {
	occurred, err := poll(c, 0)
	return errors.Is(err, net.ErrClosed) || err == nil && occurred&(unix.POLLHUP|unix.POLLERR) != 0
}

// poll returns which of the given events have occurred on a connection, with those that
// poll(2) always reports. The error is net.ErrClosed if this end has closed the connection.
func poll(c net.Conn, events int16) (occurred int16, err error) {
	c = unwrap(c)
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.Errorf("%T is no socket", c)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	fds := []unix.PollFd{{Events: events}}
	controlErr := raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		_, err = unix.Poll(fds, 0)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return fds[0].Revents, err
}
