package spread_test

// This file benchmarks the decisions of a node in a fleet of the target size.

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

func largeView(members int) *member.View {
	v := &member.View{Members: map[string]*wire.Member{}}
	for i := range members {
		m := &wire.Member{Name: fmt.Sprintf("service-%d-%d", i%190, i/190), Domain: fmt.Sprintf("d%d", i%7), State: wire.State_STATE_ALIVE}
		v.Members[m.GetName()] = m
		v.Names = append(v.Names, m.GetName())
	}
	v.Self = v.Members[v.Names[0]]
	return v
}

// BenchmarkPlacement measures computing the placement of a node in the tree.
func BenchmarkPlacement(b *testing.B) {
	for _, members := range []int{700, 7000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			v, tree := largeView(members), spread.Tree{Fanout: 16, ReadersPerDomain: 2}
			b.ReportAllocs()
			for b.Loop() {
				tree.Placement(v)
			}
		})
	}
}

// BenchmarkBeat measures one heartbeat interval of a node among 7,000 members,
// in which all its children attach. It also reports the heap memory per child.
func BenchmarkBeat(b *testing.B) {
	for _, children := range []int{0, 16, 32} {
		b.Run(fmt.Sprint(children), func(b *testing.B) {
			v, tree := largeView(7000), spread.Tree{Fanout: 16, ReadersPerDomain: 2}
			for _, name := range v.Names { // the root has the most children
				if tree.RankOf(name).Above(tree.RankOf(v.Self.GetName())) {
					v.Self = v.Members[name]
				}
			}
			now := time.Unix(1e9, 0)
			s := spread.New(spread.Config{Tree: tree, Holder: &revision.Holder{}, HeartbeatInterval: time.Second, ExchangeInterval: 5 * time.Second}, v, now)
			before := heapInUse()
			for range 100 { // no peer answers, so the floor is known once the platform is read
				now = now.Add(time.Second)
				s.Tick(now, v, 1)
				for _, a := range s.Actions() {
					s.HandleFetchResponse(a, nil, now)
				}
			}
			require.True(b, s.FloorKnown())
			var reqs []*wire.AttachRequest
			for _, name := range v.Names {
				if len(reqs) < children && name != v.Self.GetName() {
					req := &wire.AttachRequest{Name: name, Peer: "127.0.0.1:1", Domain: "d"}
					require.False(b, s.HandleAttach(req, now).GetRefused())
					reqs = append(reqs, &wire.AttachRequest{Name: name})
				}
			}
			perChild := float64(heapInUse()-before) / float64(max(children, 1))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for _, req := range reqs {
					s.HandleAttach(req, now)
				}
				s.Tick(now, v, 1)
				s.Actions()
			}
			b.ReportMetric(perChild, "heap-B/child")
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
