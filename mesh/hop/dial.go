package hop

// This file dials connections that break soon after the other end is lost.

import (
	"net"
	"time"
)

// Dialer returns a dialer whose connections break when what was sent stays
// unacknowledged for a time. A peer that is slow but alive acknowledges at
// once, so it is not affected.
func Dialer(silent time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: max(2*silent, time.Second),
		Control: control(silent),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}
}
