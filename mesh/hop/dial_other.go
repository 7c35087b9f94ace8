//go:build !linux

package hop

// This file leaves connections unchanged on systems without TCP_USER_TIMEOUT.

import (
	"syscall"
	"time"
)

// setUserTimeout returns nil, which net.Dialer ignores.
func setUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error { return nil }
