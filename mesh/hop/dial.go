package hop

// This file configures connections that fail soon after the peer is lost.

import (
	"net"
	"time"
)

// NewDialer returns a dialer whose connections fail when sent data stays
// unacknowledged for unackedTimeout (on Linux), or when keep-alive probes get no
// reply. A peer that is slow but alive acknowledges at once, so it is not
// affected.
func NewDialer(unackedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: max(2*unackedTimeout, time.Second),
		Control: setUserTimeout(unackedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}
}
