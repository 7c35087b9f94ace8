package quota

// This file tells the rates of workspaces at all nodes together.

import "time"

// Rates returns the calls a second that all nodes together admitted of late, by workspace,
// of the workspaces with recent calls at this node and a quota. It returns nil while no
// recent total is known.
func (l *Limiter) Rates(now time.Time) map[string]float64 {
	at := now.Sub(l.start)
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !l.fleet.known || at-l.fleet.receivedAt > leaseTime {
		return nil
	}
	rates := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		rates[name] = b.admittedRate()
	}
	return rates
}

// admittedRate returns the calls a second in the last total that listed the workspace.
func (b *bucket) admittedRate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return perS(b.total.admitted)
}
