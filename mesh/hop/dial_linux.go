package hop

// This file sets the socket option by which Linux bounds the time that sent
// data may stay unacknowledged.

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, in ms, which package syscall lacks.
const tcpUserTimeout = 18

func control(silent time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silent.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
