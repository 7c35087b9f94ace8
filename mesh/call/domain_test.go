package call_test

// This file simulates a service whose servers are spread over failure domains.

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/call"
)

// placeInDomains makes each node of a service know some gates of its own failure domain
// and a few of others, as call.Subset chooses them. sizes holds the number of gates of
// each domain.
func (s *sim) placeInDomains(service string, sizes []int, near, far int) {
	v := s.services[service]
	s.separate = true
	random := rand.New(rand.NewPCG(3, 5))
	var domains [][]int
	first := 0
	for _, size := range sizes {
		var d []int
		for n := range size {
			d = append(d, first+n)
		}
		domains, first = append(domains, d), first+size
	}
	for d, members := range domains {
		var others []int
		for o := range domains {
			if o != d {
				others = append(others, domains[o]...)
			}
		}
		for _, n := range members {
			k := &knowledge{search: call.NewBudget()}
			for _, p := range random.Perm(len(members))[:near] {
				k.balancer.Near = append(k.balancer.Near, call.NewInstance(strconv.Itoa(members[p]), v.gates[members[p]].slots))
			}
			for _, p := range random.Perm(len(others))[:far] {
				k.balancer.Far = append(k.balancer.Far, call.NewInstance(strconv.Itoa(others[p]), v.gates[others[p]].slots))
			}
			v.knowledge[v.gates[n]] = k
		}
	}
}

// placeInThreeDomains is placeInDomains for two services, whose nodes call each other's. Each
// node knows all gates of its own failure domain and four of each other one.
func (s *sim) placeInThreeDomains() {
	const domains = 3
	s.separate = true
	random := rand.New(rand.NewPCG(3, 5))
	for _, called := range []string{"quotes", "dispatch"} {
		v := s.services[called]
		byDomain := make([][]int, domains)
		for n := range v.gates {
			byDomain[n*domains/len(v.gates)] = append(byDomain[n*domains/len(v.gates)], n)
		}
		for _, name := range []string{"quotes", "dispatch"} {
			entries := s.services[name].gates
			for n, entry := range entries {
				k := &knowledge{search: call.NewBudget()}
				for d, gates := range byDomain {
					if d == n*domains/len(entries) {
						k.balancer.Near = v.instances(gates)
						continue
					}
					for _, p := range random.Perm(len(gates))[:4] {
						k.balancer.Far = append(k.balancer.Far, v.instances(gates[p:p+1])...)
					}
				}
				v.knowledge[entry] = k
			}
		}
	}
}

// instances returns what a node knows of some gates at first.
func (v *simService) instances(gates []int) []*call.Instance {
	var out []*call.Instance
	for _, n := range gates {
		out = append(out, call.NewInstance(strconv.Itoa(n), v.gates[n].slots))
	}
	return out
}

// offerAt is like offer, at the nodes of some gates.
func (s *sim) offerAt(c class, gates []*gate, perSecond float64, from, until time.Duration) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.call(&c, "outside", gates[s.rand.IntN(len(gates))], func(bool) {})
		s.schedule(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.schedule(from, next)
}

// TestBusyDomainOfALargeFleet offers 0.85 times the capacity of 244 servers of different
// speed in five domains of which one gets a quarter more for its servers. Each node knows
// few servers. In no domain may more than one in a hundred calls be refused.
func TestBusyDomainOfALargeFleet(t *testing.T) {
	sizes, weights := []int{43, 47, 56, 44, 54}, []float64{0.195, 0.179, 0.200, 0.232, 0.194}
	random, capacity := rand.New(rand.NewPCG(1, 1)), 0.0
	c := class{priority: 2, work: 220 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 2500 * time.Millisecond}
	const slots = 5
	var speeds []float64
	for range 244 {
		speed := 0.7 + 1.08*random.Float64()*random.Float64()
		speeds = append(speeds, speed)
		capacity += slots / (speed * c.work.Seconds())
	}
	s := newSim(slots, speeds...)
	s.placeInDomains("", sizes, 15, 5)
	first := 0
	for d, size := range sizes {
		c.name = strconv.Itoa(d)
		s.offerAt(c, s.services[""].gates[first:first+size], 0.85*weights[d]*capacity, 0, 12*time.Second)
		first += size
	}
	s.advance(16 * time.Second)
	for d := range sizes {
		stats := s.stats[strconv.Itoa(d)]
		require.Less(t, 100*stats.refused, stats.asked, "domain %d: %+v", d, stats)
		require.Greater(t, 100*stats.inTime, 95*stats.asked, "domain %d: %+v", d, stats)
	}
}
