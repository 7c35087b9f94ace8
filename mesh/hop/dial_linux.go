package hop

// This file sets the socket option that limits, on Linux, how long sent data may
// stay unacknowledged.

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, whose value is in ms.
// Package syscall doesn't define it.
const tcpUserTimeout = 18

// setUserTimeout returns a control function for net.Dialer that sets
// TCP_USER_TIMEOUT.
func setUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
