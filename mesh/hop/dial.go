package hop

// This file configures connections that fail soon after the peer is lost.

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// NewDialer returns a dialer whose connections fail when sent data stays
// unacknowledged for unackedTimeout (on Linux), or when keep-alive probes get no
// reply. A peer that is slow but alive acknowledges at once, so it is not
// affected.
func NewDialer(unackedTimeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: max(2*unackedTimeout, time.Second),
		Control: setUserTimeout(unackedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}}
}

// IsDialError reports whether err says that no connection was established. It does
// not exclude that a transport has sent the request on another connection before.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
