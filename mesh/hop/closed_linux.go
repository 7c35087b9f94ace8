package hop

// This file asks the kernel whether the other end of a connection has closed it.

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the other end of a connection has closed it, or its own side
// of it, although bytes that it sent before may not have been read yet. It does not block,
// and returns false if that can't be found out. c may be a wrapper with a method NetConn.
func ClosedByPeer(c net.Conn) bool {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(events, 0)
		closed = pollErr == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed && err == nil
}
