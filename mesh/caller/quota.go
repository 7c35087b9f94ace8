package caller

// This file applies the quotas of workspaces.

import "time"

// exceedsQuota reports whether the call is beyond the quota of its workspace. It counts
// the call, which it must do once: retries of the entry node are part of it.
func (x *exchange) exceedsQuota() bool {
	if x.workspace == nil || x.proxy.config.Quotas == nil {
		return false
	}
	d := x.proxy.config.Quotas.Admit(x.workspace, time.Now())
	if d.Admitted {
		return false
	}
	x.overQuota = d
	return true
}

// quotaAttributes returns what the refusal of a call beyond its quota was based on, for
// a log line.
func (x *exchange) quotaAttributes() []any {
	d := &x.overQuota
	return []any{
		"quota", round(d.Quota), "offered", round(d.Offered), "admitted", round(d.Passed), "level", round(d.Level),
		"refill", round(d.Refill), "tokens", round(d.Tokens), "chance", round(d.Chance), "age", ms(d.Age), "nodes", d.Nodes, "after", ms(d.RetryAfter),
	}
}

// round rounds to hundredths, to keep log lines short.
func round(v float64) float64 { return float64(int64(v*100+0.5)) / 100 }
