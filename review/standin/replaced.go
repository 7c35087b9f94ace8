package main

// This file plays the loss of all machines at once, which are replaced by others with other
// names at other addresses.

import (
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["replaced"] = playReplaced }

const (
	replacedServices = 6
	machinesEach     = 6 // of each service, half of them in each zone
	downFor          = 1500 * time.Millisecond
	recoverS         = 15 * time.Second
	measuredFor      = 8 * time.Second
)

// playReplaced measures which share of the requests is served before the loss, and later than
// recoverS after other machines have taken the place of those that were lost. With SAME=1 in
// the environment the same machines come back.
func playReplaced(r *record) (bool, error) {
	d, err := newStoreOnly(r, manyConfigFile, 2*replacedServices*machinesEach)
	defer d.close()
	if err != nil {
		return false, err
	}
	var services []string
	for n := range replacedServices * machinesEach {
		services = append(services, "service-"+string(rune('a'+n/2%replacedServices)))
	}
	if err := d.add("sidecar", services, nil); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the nodes hear of each other, and of their servers
	first := d.machines
	before := d.servedShare(first)
	r.say("served before: %.3f", before)
	second := first
	switch {
	case !trouble:
	case os.Getenv("SAME") == "1":
		d.lose(first)
		time.Sleep(downFor)
		for _, m := range first {
			if err := m.server.listen(); err != nil {
				return false, err
			}
			if err := m.start(); err != nil {
				return false, err
			}
		}
	default:
		d.lose(first)
		for _, m := range first {
			m.server.stop()
		}
		time.Sleep(downFor)
		if err := d.add("sidecar-new", services, nil); err != nil {
			return false, err
		}
		second = d.machines[len(first):]
	}
	r.line("all machines are back")
	time.Sleep(recoverS)
	after := d.servedShare(second)
	r.say("served later than %v after the machines were back: %.3f", recoverS, after)
	d.store.mu.Lock()
	r.say("meeting points in the store: %d", len(d.store.kinds["member"]))
	d.store.mu.Unlock()
	return before >= 0.25 && after < 0.25, nil
}

// lose ends all machines at the same moment, without notice.
func (d *deployment) lose(machines []*machine) {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
		m.server.mu.Lock()
		m.server.down = true
		h := m.server.http
		m.server.mu.Unlock()
		_ = h.Close()
	}
	for _, m := range machines {
		<-m.ended
	}
}

// servedShare sends requests for all services from the consumers of all machines, and
// returns the share that is served.
func (d *deployment) servedShare(machines []*machine) float64 {
	end := time.Now().Add(measuredFor)
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for k, m := range machines {
		all.Go(func() {
			for n := k; time.Now().Before(end); n++ {
				target := "/service-" + string(rune('a'+n%replacedServices)) + "/" + strconv.Itoa(n)
				res, err := ask(m, "GET", target)
				mu.Lock()
				sent++
				if err == nil && res.status == 200 && res.stamped && res.err == nil {
					served++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	d.record.line("%d of %d requests served", served, sent)
	return float64(served) / float64(sent)
}
