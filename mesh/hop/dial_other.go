//go:build !linux

package hop

// This file leaves connections as they are where the system has no bound for
// unacknowledged data.

import (
	"syscall"
	"time"
)

func control(time.Duration) func(network, address string, c syscall.RawConn) error { return nil }
