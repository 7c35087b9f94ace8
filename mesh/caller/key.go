package caller

// This file decides by its key whether a call may run, and for which workspace. It
// handles callers without a valid key, and keys that were added while this node is cut
// off from the store or has not received the newest configuration: a valid key must
// never be refused for good.

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"caroblift.dev/mesh/call"
)

// Currency is what a node knows of the age of its table in force.
type Currency struct {
	Behind string        // why a newer version may exist; "" if the table is known to be the newest
	Age    time.Duration // since the table was last known to be the newest; negative if it never was
}

// keyCheck is the input of the decision on a call that was refused for its key.
type keyCheck struct {
	keys     int    // values that the caller sent
	digest   string // prefix of the digest of the key; "" unless there is one key
	currency Currency
}

// takeKeys removes the caller's key from the request and returns its values. It also
// removes the fields of the trailer that callers must not send.
func (x *exchange) takeKeys() []string {
	x.cleanTrailer()
	if d, ok := x.proxy.config.Dialect.(KeyDialect); ok {
		return d.TakeKeys(x.r.Header)
	}
	return nil
}

// cleanTrailer removes the fields of the trailer that callers must not send. The fields
// are known by name when the call comes, if the caller declared them, and all of them at
// the end of the body.
func (x *exchange) cleanTrailer() {
	if len(x.r.Trailer) == 0 {
		return
	}
	call.StripMeshHeaders(x.r.Trailer)
	if d, ok := x.proxy.config.Dialect.(KeyDialect); ok {
		d.CleanTrailer(x.r.Trailer)
	}
}

// checkKey finds the workspace of the call's key. It returns the reason if the call is
// refused: its route needs a key and the call has no key of the table. More than one
// value is no key, since it is unclear which one counts. The refusal is final only if
// no newer version of the configuration can have the key.
func (x *exchange) checkKey(keys []string) call.Reason {
	t := x.directory.router.Table
	if !t.NeedsKeys() {
		return ""
	}
	if len(keys) == 1 {
		x.workspace = t.Workspace(keys[0])
	}
	if x.workspace != nil || x.route.Open {
		return ""
	}
	x.keyCheck = keyCheck{keys: len(keys), currency: x.proxy.currency()}
	if x.proxy.config.Table() != t {
		x.keyCheck.currency.Behind = "the table changed during the call"
	}
	if len(keys) == 1 && keys[0] != "" {
		digest := sha256.Sum256([]byte(keys[0]))
		x.keyCheck.digest = hex.EncodeToString(digest[:digestPrefix])
	}
	switch {
	case x.keyCheck.currency.Behind != "":
		if x.proxy.config.RequestUpdate != nil {
			x.proxy.config.RequestUpdate()
		}
		return call.ReasonKeyPending
	case len(keys) == 0 || len(keys) == 1 && keys[0] == "":
		return call.ReasonNoKey
	}
	return call.ReasonBadKey
}

// digestPrefix is the number of bytes of a key's digest in log lines, which suffice to
// find the key among those of all workspaces.
const digestPrefix = 4

// currency returns how current the table in force is.
func (p *Proxy) currency() Currency {
	if p.config.Currency == nil {
		return Currency{}
	}
	return p.config.Currency()
}

// keyAttributes returns the inputs of a refusal for the key, for its log line.
func (x *exchange) keyAttributes(reason call.Reason) []any {
	switch reason {
	case call.ReasonNoKey, call.ReasonBadKey, call.ReasonKeyPending:
		c := x.keyCheck
		return []any{"keys", c.keys, "digest", c.digest, "behind", c.currency.Behind, "confirmed", ms(c.currency.Age)}
	}
	return nil
}
